/**
 * The known nodes, by name.
 *
 * @module
 */
import type { NodeEntry } from "../model/peer-message.ts";

/** Entries of the other nodes, from the store and from peers. */
export class NodeDirectory {
  #own: NodeEntry;
  #entries = new Map<string, NodeEntry>();

  constructor(own: NodeEntry) {
    this.#own = own;
  }

  /** This node's entry. */
  get own(): NodeEntry {
    return this.#own;
  }

  /** Number of known nodes, including this one. */
  get count(): number {
    return this.#entries.size + 1;
  }

  /** The other nodes. */
  list(): NodeEntry[] {
    return [...this.#entries.values()];
  }

  /** The other nodes and this one. */
  listAll(): NodeEntry[] {
    return [this.#own, ...this.#entries.values()];
  }

  find(name: string): NodeEntry | undefined {
    return this.#entries.get(name);
  }

  /** Adds an entry; false if it is known or is this node's own. */
  add(entry: NodeEntry): boolean {
    const known = this.#entries.get(entry.name);
    const isKnown = known !== undefined &&
      known.incarnation === entry.incarnation &&
      known.peerAddress === entry.peerAddress;
    if (entry.name === this.#own.name || isKnown) {
      return false;
    }
    this.#entries.set(entry.name, entry);
    return true;
  }
}
