/**
 * Limits the number and rate of loads from the weight store.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { EngineProfile } from "../model/configuration.ts";

/** Fraction of the permitted rate to use, as another node may load, too. */
const RATE_LIMIT_FRACTION = 0.8;
/**
 * Factor on the number of loads that run at full speed, applied before callers
 * are served. Each load then takes longer, but the weight store is never idle
 * between the end of a load and the report of it, which is about 0.2 s late.
 */
const STARTUP_CONCURRENCY_FACTOR = 2;
const MS_PER_SECOND = 1000;

interface QueuedLoad {
  readonly engine: EngineProfile;
  readonly priority: number;
  start(): void;
}

/**
 * Grants permission for loads. Limits their number, as more would slow each
 * other down, and their rate once callers are served.
 */
export class WeightLoadLimiter {
  #clock: Clock;
  #isRateLimited: () => boolean;
  #queue: QueuedLoad[] = [];
  #runningCount = 0;
  #lastStartedAt = -Infinity;
  #cancelTimer = () => {};

  constructor(clock: Clock, isRateLimited: () => boolean) {
    this.#clock = clock;
    this.#isRateLimited = isRateLimited;
  }

  /** Number of loads that hold a permission. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Number of loads that hold a permission or wait for one. */
  get pendingCount(): number {
    return this.#runningCount + this.#queue.length;
  }

  /**
   * Waits for permission, the lowest number of `priority` first. The result
   * releases the permission; further calls of it have no effect.
   */
  acquire(
    engine: EngineProfile,
    priority: number,
    signal: AbortSignal,
  ): Promise<() => void> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this.#queue = this.#queue.filter((other) => other !== queued);
        reject(signal.reason);
      };
      const queued: QueuedLoad = {
        engine,
        priority,
        start: () => {
          signal.removeEventListener("abort", onAbort);
          resolve(this.#start());
        },
      };
      if (signal.aborted) {
        reject(signal.reason);
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#queue.push(queued);
      this.#queue.sort((a, b) => a.priority - b.priority);
      this.#startQueued();
    });
  }

  /** Starts queued loads, and retries when the rate permits the next one. */
  #startQueued(): void {
    this.#cancelTimer();
    this.#cancelTimer = () => {};
    for (let next = this.#queue[0]; next; next = this.#queue[0]) {
      const { engine } = next;
      if (this.#runningCount >= this.#computeMaxConcurrent(engine)) {
        return;
      }
      const delayMs = this.#computeDelayMs(engine);
      if (delayMs > 0) {
        this.#cancelTimer = this.#clock.schedule(
          delayMs,
          () => this.#startQueued(),
        );
        return;
      }
      this.#queue.shift();
      next.start();
    }
  }

  #computeMaxConcurrent({ concurrentLoads }: EngineProfile): number {
    return this.#isRateLimited()
      ? concurrentLoads
      : concurrentLoads * STARTUP_CONCURRENCY_FACTOR;
  }

  #start(): () => void {
    this.#runningCount++;
    this.#lastStartedAt = this.#clock.now();
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        this.#runningCount--;
        this.#startQueued();
      }
    };
  }

  #computeDelayMs({ maxLoadsPerSecond }: EngineProfile): number {
    if (!this.#isRateLimited()) {
      return 0;
    }
    const intervalMs = MS_PER_SECOND /
      (maxLoadsPerSecond * RATE_LIMIT_FRACTION);
    return this.#lastStartedAt + intervalMs - this.#clock.now();
  }
}
