/**
 * The known nodes, by name.
 *
 * @module
 */
import { dropOldest } from "../drop-oldest.ts";
import type { NodeEntry } from "../model/peer-message.ts";

/** More earlier processes of a node than a copy of the store may list. */
const MAX_REPLACED = 8;

/** Entries of the other nodes, from the store and from peers. */
export class NodeDirectory {
  #own: NodeEntry;
  #entries = new Map<string, NodeEntry>();
  /** Processes of each node that a later one has replaced. */
  #replaced = new Map<string, Set<string>>();

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

  /**
   * Adds an entry; false if it is known or is this node's own, or if it is that
   * of an earlier process while the known one is alive: a store that was
   * restored from a copy may list the earlier one again.
   */
  add(entry: NodeEntry, isKnownAlive: boolean): boolean {
    const known = this.#entries.get(entry.name);
    const replaced = this.#replaced.get(entry.name) ?? new Set();
    const isKnown = known !== undefined &&
      known.incarnation === entry.incarnation &&
      known.peerAddress === entry.peerAddress;
    const isReplaced = isKnownAlive && replaced.has(entry.incarnation);
    if (entry.name === this.#own.name || isKnown || isReplaced) {
      return false;
    }
    if (known !== undefined && known.incarnation !== entry.incarnation) {
      replaced.add(known.incarnation);
      dropOldest(replaced, MAX_REPLACED);
      this.#replaced.set(entry.name, replaced);
    }
    this.#entries.set(entry.name, entry);
    return true;
  }
}
