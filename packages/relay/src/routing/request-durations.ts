/**
 * Mean durations of this node's requests at each instance.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** The weight of a request decreases by a factor of e in this time. */
const DECAY_MS = 4000;
/** Assumed until a request has ended; streams take about as long. */
const DEFAULT_MEAN_MS = 1000;
/** A decayed count below this one is treated as zero. */
const NEGLIGIBLE_COUNT = 0.01;

/** Decaying sums over the ended requests of one instance. */
interface DurationSums {
  count: number;
  sumMs: number;
  updatedAt: number;
}

/** Keeps a moving average of request durations by instance. */
export class RequestDurations {
  #clock: Pick<Clock, "now">;
  #sums = new Map<string, DurationSums>();

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  /** Records a request that has ended. */
  record(instance: string, durationMs: number): void {
    const now = this.#clock.now();
    const sums = this.#sums.get(instance) ??
      { count: 0, sumMs: 0, updatedAt: now };
    const factor = decayFactor(sums, now);
    this.#sums.set(instance, {
      count: sums.count * factor + 1,
      sumMs: sums.sumMs * factor + durationMs,
      updatedAt: now,
    });
  }

  /** Mean duration of a request at these instances. */
  meanMs(instances: readonly string[]): number {
    const now = this.#clock.now();
    let count = 0;
    let sumMs = 0;
    for (const id of instances) {
      const sums = this.#sums.get(id);
      if (sums !== undefined) {
        const factor = decayFactor(sums, now);
        count += sums.count * factor;
        sumMs += sums.sumMs * factor;
      }
    }
    return count < NEGLIGIBLE_COUNT ? DEFAULT_MEAN_MS : sumMs / count;
  }

  /** Removes instances that no longer receive requests. */
  prune(): void {
    const now = this.#clock.now();
    for (const [instance, sums] of this.#sums) {
      if (sums.count * decayFactor(sums, now) < NEGLIGIBLE_COUNT) {
        this.#sums.delete(instance);
      }
    }
  }
}

function decayFactor({ updatedAt }: DurationSums, now: number): number {
  return Math.exp((updatedAt - now) / DECAY_MS);
}
