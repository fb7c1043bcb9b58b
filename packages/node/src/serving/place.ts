/**
 * The place that a running request holds, over all its permits.
 *
 * @module
 */
import type { Permit } from "@zinniahill/policy";
import type { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";

/** Holds one permit at a time and counts the tokens served under it. */
export class Place {
  #permit: Permit;
  #tokens = 0;
  #isReleased = false;

  constructor(permit: Permit) {
    this.#permit = permit;
  }

  /** Priority on the engine, 0 first. */
  get priority(): number {
    return this.#permit.priority;
  }

  /** Aborts when the request must give its place to urgent work. */
  get yielded(): AbortSignal {
    return this.#permit.yieldSignal;
  }

  /** Counts tokens that the caller received. */
  noteTokens(tokens: number): void {
    this.#tokens += tokens;
  }

  /** Says that the first token of an attempt has come. */
  noteFirstToken(): void {
    this.#permit.recordFirstToken();
  }

  /** Waits for a new place after a yield; can be repeated after a refusal. */
  async resume(signal: AbortSignal): Promise<Result<void, Refusal>> {
    const resumed = await this.#permit.resume(signal);
    if (resumed.isErr) {
      return Result.err(resumed.error);
    }
    // Released only now: a permit that is released without a successor ends
    // the request in the limits of its client account.
    this.#permit.release(this.#tokens);
    this.#permit = resumed.value;
    this.#tokens = 0;
    return Result.ok(undefined);
  }

  /** Gives the place back. */
  release(): void {
    if (!this.#isReleased) {
      this.#isReleased = true;
      this.#permit.release(this.#tokens);
    }
  }
}
