/**
 * The clock of one process in memory, which can be held back.
 *
 * @module
 */
import { type Clock, sleepUsing } from "@zinniahill/kernel";

/**
 * Runs on a shared clock. While it is paused no timer fires and no reply is
 * passed on; afterwards overdue timers fire at once and then the replies
 * arrive, as in a process that a signal has continued.
 */
export class PausableClock implements Clock {
  #shared: Clock;
  #isPaused = false;
  #isEnded = false;
  #overdue: (() => void)[] = [];
  #held: (() => void)[] = [];

  constructor(shared: Clock) {
    this.#shared = shared;
  }

  /** Whether the process has been killed. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  now(): number {
    return this.#shared.now();
  }

  wallTime(): number {
    return this.#shared.wallTime();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUsing(this, ms, signal);
  }

  schedule(ms: number, callback: () => void): () => void {
    let isCancelled = false;
    const run = () => {
      if (!isCancelled && !this.#isEnded) {
        callback();
      }
    };
    const cancel = this.#shared.schedule(ms, () => {
      if (this.#isPaused) {
        this.#overdue.push(run);
      } else {
        run();
      }
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Stops the process's time until it is continued. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Fires overdue timers, then lets held replies through. */
  continue(): void {
    this.#isPaused = false;
    for (const run of this.#overdue.splice(0)) {
      run();
    }
    for (const pass of this.#held.splice(0)) {
      pass();
    }
  }

  /** Ends the process: nothing fires and nothing is passed on any more. */
  end(): void {
    this.#isEnded = true;
  }

  /** Passes a value on once the process runs; never when it has ended. */
  async hold<Value>(work: Promise<Value>): Promise<Value> {
    try {
      return await work;
    } finally {
      await this.#pass();
    }
  }

  /** Calls back once the process runs; never when it has ended. */
  run(callback: () => void): void {
    if (this.#isPaused) {
      this.#held.push(() => this.run(callback));
    } else if (!this.#isEnded) {
      callback();
    }
  }

  #pass(): Promise<void> {
    return new Promise((resolve) => this.run(resolve));
  }
}
