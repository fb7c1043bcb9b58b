/**
 * What a caller of admission asks for, and what it gets.
 *
 * @module
 */
import type { Rank, Refusal } from "@zinniahill/schema";
import type { Result } from "true-myth";

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly account: string;
  readonly rank: Rank;
  /** Tokens that the answer may have. */
  readonly tokens: number;
}

/** A place that a request holds until it ends. */
export interface Permit {
  /**
   * Priority on the engine, 0 first. Work within its rank's floor has the
   * highest, or it would hold its place while the engine serves urgent work.
   */
  readonly priority: number;
  /**
   * Aborts when a batch request is to give its place to urgent work. The
   * holder cancels it on the engine, then calls `resume` and releases this
   * permit. A holder that never reads the signal is not asked to yield.
   */
  readonly yieldSignal: AbortSignal;
  /** Waits for a place again after a yield, behind those that already wait. */
  resume(signal: AbortSignal): Promise<Result<Permit, Refusal>>;
  /** Says that the first token of an attempt has come. */
  recordFirstToken(): void;
  /** Gives the place back; `tokens` were served under this permit. */
  release(tokens: number): void;
}
