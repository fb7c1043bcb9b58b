/**
 * Times at which this node read the last lease record of each scope.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { LeaseState } from "@zinniahill/schema";

/** When the last accepted lease record of each scope was read. */
export class LeaseReadTimes {
  #clock: Clock;
  #times = new Map<string, { last: number; readAt: number }>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes the time for each scope whose last record has changed. */
  record(leases: Iterable<LeaseState>): void {
    for (const { scope, last } of leases) {
      if (this.#times.get(scope)?.last !== last) {
        this.#times.set(scope, { last, readAt: this.#clock.now() });
      }
    }
  }

  /** Time of the last lease record of a scope, in ms. */
  find(scope: string): number | undefined {
    return this.#times.get(scope)?.readAt;
  }
}
