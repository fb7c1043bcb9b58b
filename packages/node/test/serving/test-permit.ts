/**
 * A permit that tests make yield, refuse and count.
 *
 * @module
 */
import type { Permit } from "@zinniahill/policy";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";

/** Records what its holder does. */
export class TestPermit implements Permit {
  readonly priority: number;
  readonly yielding = new AbortController();
  /** The permit that the next resume gives; without one it is refused. */
  next: TestPermit | undefined;
  firstTokens = 0;
  resumes = 0;
  /** Tokens at the release; undefined while the permit is held. */
  released: number | undefined;

  constructor(priority = 1) {
    this.priority = priority;
  }

  get yieldSignal(): AbortSignal {
    return this.yielding.signal;
  }

  resume(): Promise<Result<Permit, Refusal>> {
    this.resumes++;
    const { next } = this;
    return Promise.resolve(
      next === undefined
        ? Result.err(new Refusal("overloaded", "may-have-run", "no place"))
        : Result.ok(next),
    );
  }

  recordFirstToken(): void {
    this.firstTokens++;
  }

  release(tokens: number): void {
    if (this.released !== undefined) {
      throw new Error("the permit was released twice");
    }
    this.released = tokens;
  }
}
