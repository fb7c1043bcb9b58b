/**
 * Numbers of orders that engines have accepted, as far as this node knows.
 *
 * @module
 */
import { dropOldest } from "../drop-oldest.ts";
import {
  createProcessKey,
  type EngineReport,
  type Instance,
} from "../model/instance.ts";

/** More than the hosts of any deployment. */
const MAX_PROCESSES = 4096;

/**
 * Tracks order counts by process. A report is some hundred milliseconds old, so
 * it may lack orders that this node knows to be accepted.
 */
export class OrderCounts {
  #counts = new Map<string, number>();

  /** Returns the newest known count after a report. */
  recordReport(instance: Instance, { orderCount }: EngineReport): number {
    const key = createProcessKey(instance);
    const count = Math.max(orderCount, this.#counts.get(key) ?? 0);
    this.#set(key, count);
    return count;
  }

  /** Counts an order that the engine has accepted. */
  recordAccepted(instance: Instance): void {
    const key = createProcessKey(instance);
    const count = this.#counts.get(key);
    if (count !== undefined) {
      this.#set(key, count + 1);
    }
  }

  /** Forgets a count that the engine has rejected. */
  recordConflict(instance: Instance): void {
    this.#counts.delete(createProcessKey(instance));
  }

  #set(key: string, count: number): void {
    // The process moves to the end of the map, which is dropped last.
    this.#counts.delete(key);
    this.#counts.set(key, count);
    dropOldest(this.#counts, MAX_PROCESSES);
  }
}
