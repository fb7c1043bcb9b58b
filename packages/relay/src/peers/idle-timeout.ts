/**
 * A limit on the time without a message.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/**
 * Calls back once when the limit has passed without a reset. A reset only notes
 * the time: a timer for each message would cost more than the message.
 */
export class IdleTimeout {
  #clock: Pick<Clock, "now" | "schedule">;
  #onSilent: () => void;
  #dueAt: number;
  #cancel: () => void;

  constructor(
    clock: Pick<Clock, "now" | "schedule">,
    limitMs: number,
    onSilent: () => void,
  ) {
    this.#clock = clock;
    this.#onSilent = onSilent;
    this.#dueAt = clock.now() + limitMs;
    this.#cancel = clock.schedule(limitMs, () => this.#check());
  }

  /** Lets the limit begin anew. */
  reset(limitMs: number): void {
    this.#dueAt = this.#clock.now() + limitMs;
  }

  /** Ends the limit without a call. */
  cancel(): void {
    this.#cancel();
  }

  #check(): void {
    const leftMs = this.#dueAt - this.#clock.now();
    if (leftMs <= 0) {
      this.#onSilent();
    } else {
      // Timers may fire up to a millisecond early.
      this.#cancel = this.#clock.schedule(
        Math.ceil(leftMs),
        () => this.#check(),
      );
    }
  }
}
