/**
 * The progress deadline of one stream.
 *
 * @module
 */
import { type Clock, DeadlineError } from "@zinniahill/kernel";

/**
 * Ends the wait of a stream's task when its deadline passes or its signal
 * aborts. It has one timer and one listener for the whole stream: a new timer
 * for each chunk took most of the time of forwarding it.
 */
export class ProgressWatch {
  #clock: Clock;
  #signal: AbortSignal;
  #until: number;
  #isExpired = false;
  #cancelTimer: () => void = () => {};
  #endWait: ((reason: unknown) => void) | undefined;
  #onAbort = () => this.#endWait?.(this.#signal.reason);

  constructor(clock: Clock, signal: AbortSignal, until: number) {
    this.#clock = clock;
    this.#signal = signal;
    this.#until = until;
    signal.addEventListener("abort", this.#onAbort, { once: true });
    this.#schedule();
  }

  /** Moves the deadline. */
  moveTo(until: number): void {
    const needsTimer = this.#isExpired || until < this.#until;
    this.#until = until;
    if (needsTimer) {
      this.#isExpired = false;
      this.#cancelTimer();
      this.#schedule();
    }
  }

  /** Waits for work, at most until the deadline; one wait at a time. */
  wait<Value>(work: Promise<Value>): Promise<Value> {
    return new Promise((resolve, reject) => {
      if (this.#signal.aborted) {
        reject(this.#signal.reason);
      } else if (this.#isExpired) {
        reject(createExpiry());
      }
      this.#endWait = reject;
      work.then(resolve, reject);
    });
  }

  /** Ends the watch. */
  end(): void {
    this.#cancelTimer();
    this.#endWait = undefined;
    this.#signal.removeEventListener("abort", this.#onAbort);
  }

  #schedule(): void {
    const remainingMs = Math.max(0, this.#until - this.#clock.now());
    this.#cancelTimer = this.#clock.schedule(remainingMs, () => {
      if (this.#clock.now() < this.#until) {
        this.#schedule();
      } else {
        this.#isExpired = true;
        this.#endWait?.(createExpiry());
      }
    });
  }
}

function createExpiry(): DeadlineError {
  return new DeadlineError("no new token in time");
}
