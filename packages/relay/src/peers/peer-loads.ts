/**
 * Requests in progress that the other nodes have given to instances.
 *
 * @module
 */
import type { OutstandingCount } from "../model/peer-message.ts";

/** What one node said of its requests at one instance. */
interface Work {
  readonly requests: number;
  /** When an event last came to that node, by this node's clock. */
  readonly eventAt: number;
}

/** What one node's last beat said. */
interface Beat {
  readonly at: number;
  readonly works: ReadonlyMap<string, Work>;
}

/** What each peer's last beat said, by peer and instance. */
export class PeerLoads {
  #peers = new Map<string, Beat>();

  /** Takes what a beat says that came now. */
  update(peer: string, counts: readonly OutstandingCount[], now: number): void {
    const works = new Map(
      counts.map(([instance, requests, eventAgeMs]) => [instance, {
        requests,
        eventAt: eventAgeMs === null ? -Infinity : now - eventAgeMs,
      }]),
    );
    this.#peers.set(peer, { at: now, works });
  }

  /** Forgets a peer that was lost. */
  remove(peer: string): void {
    this.#peers.delete(peer);
  }

  /** Requests of all peers at an instance. */
  count(instance: string): number {
    let count = 0;
    for (const { works } of this.#peers.values()) {
      count += works.get(instance)?.requests ?? 0;
    }
    return count;
  }

  /**
   * Requests of all peers at an instance that have probably not ended since the
   * beats that named them, if one takes `meanMs`.
   */
  estimateCount(instance: string, meanMs: number, now: number): number {
    let count = 0;
    for (const { at, works } of this.#peers.values()) {
      const requests = works.get(instance)?.requests ?? 0;
      count += requests * Math.exp((at - now) / meanMs);
    }
    return count;
  }

  /** When an event of an instance last came to a peer, as far as is known. */
  findLastEventAt(instance: string): number {
    let eventAt = -Infinity;
    for (const { works } of this.#peers.values()) {
      eventAt = Math.max(eventAt, works.get(instance)?.eventAt ?? -Infinity);
    }
    return eventAt;
  }
}
