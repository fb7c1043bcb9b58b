/**
 * A clock that advances only on request, for tests and measurements.
 *
 * @module
 */
import { type Clock, sleepUsing } from "./clock.ts";

interface Timer {
  readonly due: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Microtask turns in which tasks run between two timers. */
const SETTLE_TURNS = 20;

/** A clock whose time only `advance` moves. */
export class ManualClock implements Clock {
  #now = 0;
  #sequence = 0;
  #timers = new Set<Timer>();

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUsing(this, ms, signal);
  }

  schedule(ms: number, callback: () => void): () => void {
    const timer = {
      due: this.#now + Math.max(0, ms),
      sequence: this.#sequence++,
      callback,
    };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  }

  /** Moves time forward and runs due timers in order. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await settle();
    for (
      let timer = this.#nextTimer(end);
      timer;
      timer = this.#nextTimer(end)
    ) {
      this.#timers.delete(timer);
      this.#now = timer.due;
      timer.callback();
      await settle();
    }
    this.#now = end;
  }

  #nextTimer(end: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.#timers) {
      if (timer.due > end) {
        continue;
      }
      const isEarlier = next === undefined || timer.due < next.due ||
        (timer.due === next.due && timer.sequence < next.sequence);
      if (isEarlier) {
        next = timer;
      }
    }
    return next;
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) {
    await Promise.resolve();
  }
}
