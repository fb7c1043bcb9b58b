/**
 * Estimate of the time between dispatch and first token.
 *
 * @module
 */
import type { Rank } from "@zinniahill/schema";

/** Weight of a new sample in the mean and in the deviation. */
const SMOOTHING = 0.1;
/** Mean deviations above the mean that cover about 99 in 100 samples. */
const P99_DEVIATIONS = 3;

interface LatencyEstimate {
  meanMs: number;
  deviationMs: number;
}

/** Estimates the time between dispatch and first token, by rank. */
export class FirstTokenLatency {
  #estimates = new Map<Rank, LatencyEstimate>();

  /** The time that about 1 in 100 requests exceeds; 0 without samples. */
  estimateP99Ms(rank: Rank): number {
    const estimate = this.#estimates.get(rank);
    return estimate === undefined
      ? 0
      : estimate.meanMs + P99_DEVIATIONS * estimate.deviationMs;
  }

  /** Records one sample. */
  record(rank: Rank, ms: number): void {
    const estimate = this.#estimates.get(rank) ??
      { meanMs: ms, deviationMs: 0 };
    const error = ms - estimate.meanMs;
    estimate.meanMs += SMOOTHING * error;
    estimate.deviationMs += SMOOTHING *
      (Math.abs(error) - estimate.deviationMs);
    this.#estimates.set(rank, estimate);
  }
}
