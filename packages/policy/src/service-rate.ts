/**
 * How fast a rank is served while it has a queue.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** Older dispatches count less, by a factor of e in this time. */
const MEMORY_MS = 2000;
/** Time assumed to have passed before the first dispatch with a queue. */
const INITIAL_MS = 100;

/** A rate of tokens over the time during which requests waited. */
export class ServiceRate {
  #clock: Clock;
  #tokens = 0;
  #elapsedMs = INITIAL_MS;
  #updatedAt: number;
  #isBacklogged = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /** Tokens dispatched in a millisecond; high until a queue has formed. */
  get tokensPerMs(): number {
    this.#advance();
    return this.#elapsedMs <= INITIAL_MS || this.#tokens === 0
      ? Infinity
      : this.#tokens / this.#elapsedMs;
  }

  /** Counts a dispatch. */
  note(tokens: number): void {
    this.#advance();
    if (this.#isBacklogged) {
      this.#tokens += tokens;
    }
  }

  /** Says whether requests of the rank wait now. */
  setBacklogged(isBacklogged: boolean): void {
    this.#advance();
    this.#isBacklogged = isBacklogged;
  }

  #advance(): void {
    const now = this.#clock.now();
    const elapsed = now - this.#updatedAt;
    this.#updatedAt = now;
    if (this.#isBacklogged) {
      const kept = Math.exp(-elapsed / MEMORY_MS);
      this.#tokens *= kept;
      this.#elapsedMs = this.#elapsedMs * kept + elapsed;
    }
  }
}
