/**
 * Adapts the number of requests in flight to measured first-token times.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Rank } from "@zinniahill/schema";

/** Weight of a new sample in the typical time. */
const SMOOTHING = 0.1;

/** Time between dispatch and first token, by rank. */
export class FirstTokenControl {
  #typicalMs = new Map<Rank, number>();

  constructor(_clock: Clock) {}

  /** Multiplies the capacity of the node. */
  get factor(): number {
    return 1;
  }

  /** The smoothed time from dispatch to first token. */
  getTypicalMs(rank: Rank): number {
    return this.#typicalMs.get(rank) ?? 0;
  }

  /** Takes one measured time. */
  note(rank: Rank, ms: number): void {
    const known = this.#typicalMs.get(rank) ?? ms;
    this.#typicalMs.set(rank, known + SMOOTHING * (ms - known));
  }
}
