/**
 * A timeout for connections without messages.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/**
 * Calls back once when the timeout has elapsed without a reset. A reset only
 * stores the time, as a timer for each message would cost more than the
 * message.
 */
export class IdleTimeout {
  #clock: Pick<Clock, "now" | "schedule">;
  #onTimeout: () => void;
  #expiresAt: number;
  #cancelTimer: () => void;

  constructor(
    clock: Pick<Clock, "now" | "schedule">,
    timeoutMs: number,
    onTimeout: () => void,
  ) {
    this.#clock = clock;
    this.#onTimeout = onTimeout;
    this.#expiresAt = clock.now() + timeoutMs;
    this.#cancelTimer = clock.schedule(timeoutMs, () => this.#check());
  }

  /** Restarts the timeout. */
  reset(timeoutMs: number): void {
    this.#expiresAt = this.#clock.now() + timeoutMs;
  }

  /** Cancels the timeout. */
  cancel(): void {
    this.#cancelTimer();
  }

  #check(): void {
    const remainingMs = this.#expiresAt - this.#clock.now();
    if (remainingMs <= 0) {
      this.#onTimeout();
    } else {
      // Timers may fire up to a millisecond early.
      this.#cancelTimer = this.#clock.schedule(
        Math.ceil(remainingMs),
        () => this.#check(),
      );
    }
  }
}
