/**
 * Exchange of the use of client accounts where a node is not connected to every
 * other one: each connection of a spanning tree carries totals.
 *
 * @module
 */
import { type Clock, Condition } from "@zinniahill/kernel";
import {
  type AccountUsage,
  PeerTree,
  type TreePosition,
  UsageTotals,
} from "@zinniahill/policy";
import {
  encodePeerMessage,
  type HeartbeatMessage,
  type PeerMessageOf,
} from "@zinniahill/schema";

type Place = NonNullable<HeartbeatMessage["tree"]>;

/** Shortest time between two totals on a connection. */
const MIN_INTERVAL_MS = 250;
/**
 * Totals that a node sends to all its links together. A node may spend 5 KB a
 * second in both directions, and heartbeats take about half of it.
 */
const SENT_BYTES_PER_SECOND = 1000;

/** What the exchange asks of the service that owns it. */
export interface UsageExchangeOwner {
  readonly node: string;
  /** Silence after which the root of the tree is lost. */
  readonly deadlineMs: number;
  /** Interval at which the root increases its sequence. */
  readonly heartbeatMs: number;
  listConnected(): ReadonlySet<string>;
  send(node: string, bytes: Uint8Array): void;
  /** Receives the use of all other nodes since the last call. */
  report(message: PeerMessageOf<"usage">): void;
}

/** Sends and receives totals along the tree. */
export class UsageExchange {
  /** Notified when neighbours should hear of this node's place at once. */
  readonly moved = new Condition();
  #clock: Clock;
  #owner: UsageExchangeOwner;
  #tree: PeerTree;
  #totals = new UsageTotals();
  #sequence = 0;

  constructor(clock: Clock, owner: UsageExchangeOwner) {
    this.#clock = clock;
    this.#owner = owner;
    this.#tree = new PeerTree(
      owner.node,
      this.#createRootSequence(),
      owner.deadlineMs,
      clock.now(),
    );
  }

  /** This node's place in the tree, for its heartbeats. */
  get place(): Place {
    const { root, rootSequence, depth, parent } = this.#tree.position;
    return [root, rootSequence, depth, parent];
  }

  /** Neighbours along the tree. */
  get links(): readonly string[] {
    return this.#tree.links;
  }

  /** Takes in the place of a neighbour. */
  notePlace(node: string, [root, rootSequence, depth, parent]: Place): void {
    const before = this.#tree.position;
    this.#tree.updateNeighbour(
      node,
      { root, rootSequence, depth, parent },
      this.#clock.now(),
    );
    this.#noticeMove(before);
  }

  /** Notes what this node's callers used since the last report. */
  noteOwn(accounts: readonly AccountUsage[]): void {
    this.#totals.addOwnUsage(accounts);
  }

  /** Notes what a neighbour reports of its side of the tree. */
  noteTotal(node: string, message: PeerMessageOf<"usage-total">): void {
    this.#updateLinks();
    this.#totals.addLinkUsage(
      node,
      message.accounts.map(([account, requests, tokens, streams, users]) => ({
        account,
        requests,
        tokens,
        streams,
        users,
      })),
    );
  }

  /** Keeps this node's place in the tree until the node stops. */
  async keepPlace(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const before = this.#tree.position;
      this.#tree.retain(this.#owner.listConnected());
      this.#tree.advance(this.#createRootSequence(), this.#clock.now());
      this.#noticeMove(before);
      await this.#clock.sleep(this.#owner.heartbeatMs, signal);
    }
  }

  /** Sends totals until the node stops; a task of its own, as it is paced. */
  async passTotals(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = this.#sendTotals() * 1000 / SENT_BYTES_PER_SECOND;
      this.#reportOthers();
      await this.#clock.sleep(Math.max(MIN_INTERVAL_MS, pauseMs), signal);
    }
  }

  /** A restarted root needs a higher sequence than its last process had. */
  #createRootSequence(): number {
    return Math.floor(this.#clock.wallTime() / this.#owner.heartbeatMs);
  }

  #noticeMove({ root, parent }: TreePosition): void {
    const { position } = this.#tree;
    if (position.root !== root || position.parent !== parent) {
      this.moved.notify();
    }
  }

  #updateLinks(): void {
    this.#tree.retain(this.#owner.listConnected());
    const { parent } = this.#tree.position;
    this.#totals.setLinks(this.#tree.links, parent);
  }

  /** Sends each link what it was not told yet; returns the bytes. */
  #sendTotals(): number {
    this.#updateLinks();
    let bytes = 0;
    for (const node of this.#tree.links) {
      const accounts = this.#totals.takeUsageFor(node);
      if (accounts !== undefined) {
        const message = encodePeerMessage({
          kind: "usage-total",
          accounts: accounts.map((usage) => [
            usage.account,
            usage.requests,
            usage.tokens,
            usage.streams,
            usage.users ?? 1,
          ]),
        });
        this.#owner.send(node, message);
        bytes += message.length;
      }
    }
    return bytes;
  }

  #reportOthers(): void {
    const accounts = this.#totals.takeRemoteUsage();
    if (accounts !== undefined) {
      this.#sequence++;
      this.#owner.report({ kind: "usage", sequence: this.#sequence, accounts });
    }
  }
}
