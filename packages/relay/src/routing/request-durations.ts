/**
 * How long requests of this node take at each instance.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** Older requests count less, by a factor of e in this time. */
const MEMORY_MS = 4000;
/** Assumed until a request has ended; streams take about as long. */
const INITIAL_MEAN_MS = 1000;
/** What is left of a count that is forgotten. */
const NEGLIGIBLE_COUNT = 0.01;

/** Decaying sums over the requests of one instance that have ended. */
interface Times {
  count: number;
  sumMs: number;
  at: number;
}

/** Measures requests by instance. */
export class RequestDurations {
  #clock: Pick<Clock, "now">;
  #times = new Map<string, Times>();

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  /** Counts a request that has ended. */
  note(instance: string, durationMs: number): void {
    const now = this.#clock.now();
    const times = this.#times.get(instance) ?? { count: 0, sumMs: 0, at: now };
    const factor = decayFactor(times, now);
    this.#times.set(instance, {
      count: times.count * factor + 1,
      sumMs: times.sumMs * factor + durationMs,
      at: now,
    });
  }

  /** How long a request takes at these instances, on average. */
  meanMs(instances: readonly string[]): number {
    const now = this.#clock.now();
    let count = 0;
    let sumMs = 0;
    for (const id of instances) {
      const times = this.#times.get(id);
      if (times !== undefined) {
        const factor = decayFactor(times, now);
        count += times.count * factor;
        sumMs += times.sumMs * factor;
      }
    }
    return count < NEGLIGIBLE_COUNT ? INITIAL_MEAN_MS : sumMs / count;
  }

  /** Forgets instances that get no requests any more. */
  prune(): void {
    const now = this.#clock.now();
    for (const [instance, times] of this.#times) {
      if (times.count * decayFactor(times, now) < NEGLIGIBLE_COUNT) {
        this.#times.delete(instance);
      }
    }
  }
}

function decayFactor({ at }: Times, now: number): number {
  return Math.exp((at - now) / MEMORY_MS);
}
