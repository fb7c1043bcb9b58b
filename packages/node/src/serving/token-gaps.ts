/**
 * The time between the tokens of one attempt.
 *
 * @module
 */

/** Tokens over which one mean is taken. */
const SAMPLE_TOKENS = 8;

/**
 * Reports the mean time between tokens. The time until the first token is no
 * part of it, as that is queueing and prefill.
 */
export class TokenGaps {
  #onSample: (ms: number) => void;
  #startedAt: number | undefined;
  #tokens = 0;

  constructor(onSample: (ms: number) => void) {
    this.#onSample = onSample;
  }

  /** Notes tokens that have arrived. */
  note(tokens: number, now: number): void {
    if (this.#startedAt === undefined) {
      this.#startedAt = now;
      return;
    }
    this.#tokens += tokens;
    if (this.#tokens >= SAMPLE_TOKENS) {
      this.#onSample((now - this.#startedAt) / this.#tokens);
      this.restart(now);
    }
  }

  /**
   * Begins a new sample. Time that a slow caller took must not count as the
   * group's.
   */
  restart(now: number): void {
    this.#startedAt = now;
    this.#tokens = 0;
  }
}
