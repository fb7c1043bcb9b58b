/**
 * Connections to other nodes, by the role of the node at the other end.
 *
 * @module
 */
import type { PeerConnection } from "@zinniahill/clients";
import type { NodeEntry, TopologyRole } from "../model/peer-message.ts";

/** An open connection to another node. */
export interface Link {
  readonly entry: NodeEntry;
  readonly connection: PeerConnection;
  /**
   * What the other end is to this node: `peer` in a full mesh, `hub` if it
   * forwards messages to this node or is a hub as well, `spoke` if this node
   * forwards messages to it.
   */
  readonly role: TopologyRole;
  /** Whether this node opened the connection. */
  readonly isDialed: boolean;
}

/** A peer that does not read is disconnected, so that no sender waits. */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
/**
 * A heartbeat waits for its link at most behind so many bytes, 0.1 s at
 * 10 Mbit/s. Its receiver takes what it says for current: spokes of a hub with a
 * full link kept lists that were seconds old.
 */
const MAX_BYTES_BEFORE_HEARTBEAT = 128 * 1024;

/** Sends an encoded message over a connection. */
export function sendBytes(
  connection: PeerConnection,
  bytes: Uint8Array,
): void {
  if (connection.queuedBytes > MAX_QUEUED_BYTES) {
    connection.close();
    return;
  }
  connection.send(bytes);
}

/** The open links of a node, by the name of the other end. */
export class LinkTable {
  #ownName: string;
  #links = new Map<string, Link>();

  constructor(ownName: string) {
    this.#ownName = ownName;
  }

  list(): Link[] {
    return [...this.#links.values()];
  }

  /** The links to ends of one role. */
  listByRole(role: TopologyRole): Link[] {
    return this.list().filter((link) => link.role === role);
  }

  find(name: string): Link | undefined {
    return this.#links.get(name);
  }

  /**
   * Adds a link and closes an earlier one to the same node. If both nodes
   * connected at the same time, the connection of the one whose name sorts
   * first stays open; the result is then false for the other one.
   */
  add(link: Link): boolean {
    const { name, incarnation } = link.entry;
    const current = this.#links.get(name);
    if (
      current?.entry.incarnation === incarnation &&
      this.#isPreferred(current) &&
      !this.#isPreferred(link)
    ) {
      return false;
    }
    current?.connection.close();
    this.#links.set(name, link);
    return true;
  }

  /** Removes a link; false if it was replaced before. */
  remove(link: Link): boolean {
    return this.#links.get(link.entry.name) === link &&
      this.#links.delete(link.entry.name);
  }

  /** Sends an encoded message to each of the links. */
  send(links: readonly Link[], bytes: Uint8Array): void {
    links.forEach(({ connection }) => sendBytes(connection, bytes));
  }

  /** Sends a heartbeat to links without a backlog; the next one replaces it. */
  sendHeartbeat(links: readonly Link[], bytes: Uint8Array): void {
    this.send(
      links.filter(({ connection }) =>
        connection.queuedBytes <= MAX_BYTES_BEFORE_HEARTBEAT
      ),
      bytes,
    );
  }

  #isPreferred({ entry, isDialed }: Link): boolean {
    return (this.#ownName < entry.name) === isDialed;
  }
}
