/**
 * Limits on loads from the weight store.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { EngineProfile } from "../model/configuration.ts";

/** Part of the allowed rate that is used, as another node may load too. */
const RATE_SHARE = 0.8;
/**
 * Before callers are served, this many times the loads that run at full speed
 * are begun. Each then takes longer, but the weight store is never idle between
 * the end of a load and the news of it, which comes about 0.2 s late.
 */
const START_LOADS_FACTOR = 2;
const MS_PER_SECOND = 1000;

interface Waiter {
  readonly engine: EngineProfile;
  readonly priority: number;
  begin(): void;
}

/**
 * Gives permission for loads: a number at once, as more would slow each other
 * down, and a rate once callers are served.
 */
export class WeightLoadLimiter {
  #clock: Clock;
  #isRateLimited: () => boolean;
  #waiting: Waiter[] = [];
  #running = 0;
  #lastBegunAt = -Infinity;
  #cancelWake = () => {};

  constructor(clock: Clock, isRateLimited: () => boolean) {
    this.#clock = clock;
    this.#isRateLimited = isRateLimited;
  }

  /** Loads that hold a permission. */
  get running(): number {
    return this.#running;
  }

  /**
   * Waits for permission, the lowest priority first; the result gives it back
   * and may be repeated.
   */
  acquire(
    engine: EngineProfile,
    priority: number,
    signal: AbortSignal,
  ): Promise<() => void> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this.#waiting = this.#waiting.filter((other) => other !== waiter);
        reject(signal.reason);
      };
      const waiter: Waiter = {
        engine,
        priority,
        begin: () => {
          signal.removeEventListener("abort", onAbort);
          resolve(this.#begin());
        },
      };
      if (signal.aborted) {
        reject(signal.reason);
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#waiting.push(waiter);
      this.#waiting.sort((a, b) => a.priority - b.priority);
      this.#admit();
    });
  }

  /** Lets waiting loads begin, and looks again when the rate allows one more. */
  #admit(): void {
    this.#cancelWake();
    this.#cancelWake = () => {};
    for (let first = this.#waiting[0]; first; first = this.#waiting[0]) {
      const { engine } = first;
      if (this.#running >= this.#computeLimit(engine)) {
        return;
      }
      const pauseMs = this.#computePauseMs(engine);
      if (pauseMs > 0) {
        this.#cancelWake = this.#clock.schedule(pauseMs, () => this.#admit());
        return;
      }
      this.#waiting.shift();
      first.begin();
    }
  }

  #computeLimit({ concurrentLoads }: EngineProfile): number {
    return this.#isRateLimited()
      ? concurrentLoads
      : concurrentLoads * START_LOADS_FACTOR;
  }

  #begin(): () => void {
    this.#running++;
    this.#lastBegunAt = this.#clock.now();
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        this.#running--;
        this.#admit();
      }
    };
  }

  #computePauseMs({ maxLoadsPerSecond }: EngineProfile): number {
    if (!this.#isRateLimited()) {
      return 0;
    }
    const intervalMs = MS_PER_SECOND / (maxLoadsPerSecond * RATE_SHARE);
    return this.#lastBegunAt + intervalMs - this.#clock.now();
  }
}
