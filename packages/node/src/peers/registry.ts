/**
 * The peers that are connected, and which connection to each is kept.
 *
 * @module
 */
import { type Clock, Condition, type Logger } from "@zinniahill/kernel";
import { type PeerMessageOf, PROTOCOL_VERSION } from "@zinniahill/schema";
import type { Conversation, Peer, PeerFault } from "./conversation.ts";

type Hello = PeerMessageOf<"hello">;

/** Faults that a mistake in the settings or in the software causes. */
const IS_ERROR: { readonly [Fault in PeerFault]: boolean } = {
  "duplicate": false,
  "malformed": true,
  "name-conflict": true,
  "overflow": true,
  "replaced": false,
  "self": false,
  "silent": true,
  "stopped": false,
  "surplus": false,
  "too-large": true,
  "transport": true,
  "unexpected": true,
  "wrong-protocol": true,
};

/** Heartbeats without a message after which a new connection may be better. */
const LATE_HEARTBEATS = 1.5;

/** The node that owns a registry. */
export interface OwnNode {
  readonly name: string;
  /** Id of the process. */
  readonly instance: string;
  readonly heartbeatMs: number;
}

/** Admits at most one connection for each node. */
export class PeerRegistry {
  /** Notified whenever a peer connects or disconnects, or is heard first. */
  readonly changed = new Condition();
  #clock: Clock;
  #logger: Logger;
  #node: string;
  #instance: string;
  #lateMs: number;
  #live = new Map<string, Conversation>();
  #faults = new Map<PeerFault, number>();

  constructor(clock: Clock, logger: Logger, own: OwnNode) {
    this.#clock = clock;
    this.#logger = logger;
    this.#node = own.name;
    this.#instance = own.instance;
    this.#lateMs = LATE_HEARTBEATS * own.heartbeatMs;
  }

  /** Connections by node name. */
  get live(): ReadonlyMap<string, Conversation> {
    return this.#live;
  }

  /** How often connections ended for each reason. */
  get faults(): ReadonlyMap<PeerFault, number> {
    return this.#faults;
  }

  /** Peers that are connected. */
  list(): Peer[] {
    return [...this.#live.values()]
      .map(({ peer }) => peer)
      .filter((peer) => peer !== undefined);
  }

  /** Finds the connection to the node that listens at an address. */
  findByAddress(address: string): Conversation | undefined {
    return [...this.#live.values()]
      .find(({ peer }) => peer?.hello.peerAddress === address);
  }

  /** Keeps a connection whose peer has greeted, or says why not. */
  admit(conversation: Conversation, hello: Hello): PeerFault | undefined {
    const fault = this.#findFault(conversation, hello);
    if (fault === undefined) {
      this.#live.get(hello.node)?.end("replaced");
      this.#live.set(hello.node, conversation);
      this.#logger.info("peer_connected", { peer: hello.node });
    }
    return fault;
  }

  /** Forgets a connection that has ended. */
  remove(conversation: Conversation, fault: PeerFault | undefined): void {
    const peer = conversation.peer?.hello.node;
    if (peer !== undefined && this.#live.get(peer) === conversation) {
      this.#live.delete(peer);
      this.#logger.info("peer_disconnected", { peer });
    }
    if (fault !== undefined) {
      this.#faults.set(fault, (this.#faults.get(fault) ?? 0) + 1);
      const level = IS_ERROR[fault] ? "warn" : "debug";
      this.#logger[level]("peer_connection_closed", { peer, reason: fault });
    }
    this.changed.notify();
  }

  #findFault(
    conversation: Conversation,
    hello: Hello,
  ): PeerFault | undefined {
    if (hello.protocol !== PROTOCOL_VERSION) {
      return "wrong-protocol";
    }
    if (hello.instance === this.#instance) {
      return "self";
    }
    if (hello.node === this.#node) {
      return "name-conflict";
    }
    const current = this.#live.get(hello.node);
    const known = current?.peer?.hello;
    if (current === undefined || known === undefined) {
      return undefined;
    }
    if (known.instance !== hello.instance) {
      // A process that restarts keeps its address; two processes that were
      // given the same name do not share one.
      return known.peerAddress === hello.peerAddress
        ? undefined
        : "name-conflict";
    }
    return this.#isPreferred(conversation, current, hello.node)
      ? undefined
      : "duplicate";
  }

  /**
   * Both nodes must keep the same one of two connections that they dial at
   * the same time: the one that the node with the lower name has dialled. A
   * peer that is late may have lost the older connection.
   */
  #isPreferred(
    conversation: Conversation,
    current: Conversation,
    peer: string,
  ): boolean {
    const heardAt = current.peer?.heardAt ?? 0;
    return this.#clock.now() - heardAt > this.#lateMs ||
      conversation.isDialled === this.#node < peer;
  }
}
