/**
 * Requests for admission, and the permits that they receive.
 *
 * @module
 */
import type { Rank, Refusal } from "@zinniahill/schema";
import type { Result } from "true-myth";

/** Properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly account: string;
  readonly rank: Rank;
  /** Largest number of tokens in the answer. */
  readonly tokens: number;
}

/** Permission of a request to be in flight, held until it is released. */
export interface Permit {
  /**
   * Priority on the engine, 0 first. A request within the floor of its rank has
   * the highest one; otherwise it would hold its permit while the engine serves
   * urgent requests.
   */
  readonly priority: number;
  /**
   * Aborts when a batch request has to yield to an urgent one. Its owner then
   * cancels it on the engine, calls `resume` and releases this permit. If the
   * signal was never read, the request is not asked to yield.
   */
  readonly yieldSignal: AbortSignal;
  /** Waits for a new permit after a yield, behind the waiting requests. */
  resume(signal: AbortSignal): Promise<Result<Permit, Refusal>>;
  /** Records that the first token of an attempt has arrived. */
  recordFirstToken(): void;
  /** Releases the permit, under which `tokens` were served. */
  release(tokens: number): void;
}
