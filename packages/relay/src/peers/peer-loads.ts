/**
 * Requests in progress that the other nodes have sent to instances.
 *
 * @module
 */
import type { OutstandingCount } from "../model/peer-message.ts";

/** The last heartbeat of one node. */
interface Report {
  /** When it was sent, by this node's clock. */
  readonly sentAt: number;
  /** The factor of `estimateCount` for the estimate of that number. */
  factor: number;
  estimate: number;
}

/** One node's requests at one instance, by its last heartbeat. */
interface InstanceLoad {
  readonly requests: number;
  readonly report: Report;
  /** When that node last received an event, by this node's clock. */
  readonly lastEventAt: number;
}

/** The loads that each peer's last heartbeat reported, by instance and peer. */
export class PeerLoads {
  #loads = new Map<string, Map<string, InstanceLoad>>();
  /** Sums over all peers, read for each candidate of each request. */
  #totals = new Map<string, number>();
  #estimate = 0;
  #estimatedMeanMs = NaN;
  #estimatedAt = NaN;
  #instancesByPeer = new Map<string, readonly string[]>();

  /** Replaces the loads of a peer by those of a heartbeat sent at `sentAt`. */
  update(
    peer: string,
    counts: readonly OutstandingCount[],
    sentAt: number,
  ): void {
    this.remove(peer);
    const report = { sentAt, factor: 0, estimate: -1 };
    for (const [instance, requests, eventAgeMs] of counts) {
      const byPeer = this.#loads.get(instance) ?? new Map();
      this.#loads.set(instance, byPeer);
      const known = byPeer.get(peer)?.requests ?? 0;
      this.#totals.set(instance, this.count(instance) + requests - known);
      byPeer.set(peer, {
        requests,
        report,
        lastEventAt: eventAgeMs === null ? -Infinity : sentAt - eventAgeMs,
      });
    }
    this.#instancesByPeer.set(peer, counts.map(([instance]) => instance));
  }

  /** Removes a peer whose connection ended. */
  remove(peer: string): void {
    for (const instance of this.#instancesByPeer.get(peer) ?? []) {
      const byPeer = this.#loads.get(instance);
      const removed = byPeer?.get(peer)?.requests ?? 0;
      byPeer?.delete(peer);
      this.#totals.set(instance, this.count(instance) - removed);
      if (byPeer?.size === 0) {
        this.#loads.delete(instance);
        this.#totals.delete(instance);
      }
    }
    this.#instancesByPeer.delete(peer);
  }

  /** Requests of all peers at an instance. */
  count(instance: string): number {
    return this.#totals.get(instance) ?? 0;
  }

  /**
   * Expected number of peers' requests at an instance that have not ended since
   * the heartbeats that reported them, if requests take `meanMs` on average.
   */
  estimateCount(instance: string, meanMs: number, now: number): number {
    // A selection estimates many instances at once. One factor for each report
    // saves most of its time.
    if (meanMs !== this.#estimatedMeanMs || now !== this.#estimatedAt) {
      this.#estimatedMeanMs = meanMs;
      this.#estimatedAt = now;
      this.#estimate++;
    }
    let count = 0;
    for (const { requests, report } of this.#list(instance)) {
      if (report.estimate !== this.#estimate) {
        report.estimate = this.#estimate;
        report.factor = Math.exp((report.sentAt - now) / meanMs);
      }
      count += requests * report.factor;
    }
    return count;
  }

  /** When any peer last received an event of an instance. */
  findLastEventAt(instance: string): number {
    let latest = -Infinity;
    for (const { lastEventAt } of this.#list(instance)) {
      latest = Math.max(latest, lastEventAt);
    }
    return latest;
  }

  #list(instance: string): Iterable<InstanceLoad> {
    return this.#loads.get(instance)?.values() ?? [];
  }
}
