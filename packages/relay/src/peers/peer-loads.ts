/**
 * Requests in progress that the other nodes have sent to instances.
 *
 * @module
 */
import type { OutstandingCount } from "../model/peer-message.ts";

/** One node's requests at one instance. */
interface InstanceLoad {
  readonly requests: number;
  /** When that node last received an event, by this node's clock. */
  readonly lastEventAt: number;
}

/** The content of one node's last heartbeat. */
interface PeerReport {
  readonly receivedAt: number;
  readonly loads: ReadonlyMap<string, InstanceLoad>;
}

/** The loads that each peer's last heartbeat reported, by peer and instance. */
export class PeerLoads {
  #reports = new Map<string, PeerReport>();

  /** Replaces the loads of a peer by those of a heartbeat that arrived now. */
  update(peer: string, counts: readonly OutstandingCount[], now: number): void {
    const loads = new Map(
      counts.map(([instance, requests, eventAgeMs]) => [instance, {
        requests,
        lastEventAt: eventAgeMs === null ? -Infinity : now - eventAgeMs,
      }]),
    );
    this.#reports.set(peer, { receivedAt: now, loads });
  }

  /** Removes a peer whose connection ended. */
  remove(peer: string): void {
    this.#reports.delete(peer);
  }

  /** Requests of all peers at an instance. */
  count(instance: string): number {
    let count = 0;
    for (const { loads } of this.#reports.values()) {
      count += loads.get(instance)?.requests ?? 0;
    }
    return count;
  }

  /**
   * Expected number of peers' requests at an instance that have not ended since
   * the heartbeats that reported them, if requests take `meanMs` on average.
   */
  estimateCount(instance: string, meanMs: number, now: number): number {
    let count = 0;
    for (const { receivedAt, loads } of this.#reports.values()) {
      const requests = loads.get(instance)?.requests ?? 0;
      count += requests * Math.exp((receivedAt - now) / meanMs);
    }
    return count;
  }

  /** When any peer last received an event of an instance. */
  findLastEventAt(instance: string): number {
    let lastEventAt = -Infinity;
    for (const { loads } of this.#reports.values()) {
      lastEventAt = Math.max(
        lastEventAt,
        loads.get(instance)?.lastEventAt ?? -Infinity,
      );
    }
    return lastEventAt;
  }
}
