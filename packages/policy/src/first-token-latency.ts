/**
 * How long first tokens take after dispatch.
 *
 * @module
 */
import type { Rank } from "@zinniahill/schema";

/** Weight of a new sample in the mean and in the deviation. */
const SMOOTHING = 0.1;
/** Deviations above the mean that cover about 99 in 100 samples. */
const DEVIATIONS = 3;

interface Typical {
  meanMs: number;
  deviationMs: number;
}

/** Time between dispatch and first token, by rank. */
export class FirstTokenLatency {
  #typical = new Map<Rank, Typical>();

  /** The time from dispatch to first token that few requests exceed. */
  getTypicalMs(rank: Rank): number {
    const typical = this.#typical.get(rank);
    return typical === undefined
      ? 0
      : typical.meanMs + DEVIATIONS * typical.deviationMs;
  }

  /** Takes one measured time. */
  note(rank: Rank, ms: number): void {
    const typical = this.#typical.get(rank) ?? { meanMs: ms, deviationMs: 0 };
    const error = ms - typical.meanMs;
    typical.meanMs += SMOOTHING * error;
    typical.deviationMs += SMOOTHING * (Math.abs(error) - typical.deviationMs);
    this.#typical.set(rank, typical);
  }
}
