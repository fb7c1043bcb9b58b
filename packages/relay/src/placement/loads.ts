/**
 * Limits on loads from the weight store.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { EngineProfile } from "../model/configuration.ts";

/** Part of the allowed rate that is used, as another node may load too. */
const RATE_SHARE = 0.8;
const CHECK_MS = 50;
const MS_PER_SECOND = 1000;

/**
 * Gives permission for loads: a number at once, as more would slow each other
 * down, and a rate once callers are served.
 */
export class LoadLimit {
  #clock: Clock;
  #isRateLimited: () => boolean;
  #running = 0;
  #lastBegunAt = -Infinity;

  constructor(clock: Clock, isRateLimited: () => boolean) {
    this.#clock = clock;
    this.#isRateLimited = isRateLimited;
  }

  /** Loads that hold a permission. */
  get running(): number {
    return this.#running;
  }

  /** Waits for permission; the result gives it back and may be repeated. */
  async acquire(
    engine: EngineProfile,
    signal: AbortSignal,
  ): Promise<() => void> {
    while (!this.#mayBegin(engine)) {
      await this.#clock.sleep(CHECK_MS, signal);
    }
    this.#running++;
    this.#lastBegunAt = this.#clock.now();
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        this.#running--;
      }
    };
  }

  #mayBegin(engine: EngineProfile): boolean {
    if (this.#running >= engine.concurrentLoads) {
      return false;
    }
    const intervalMs = MS_PER_SECOND / (engine.loadsPerSecond * RATE_SHARE);
    return !this.#isRateLimited() ||
      this.#clock.now() - this.#lastBegunAt >= intervalMs;
  }
}
