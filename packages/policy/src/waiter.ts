/**
 * Requests that wait for a permit and requests that hold one.
 *
 * @module
 */
import { type Rank, Refusal } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Permit } from "./permit.ts";

const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 30_000;

/** A request that waits for a permit. */
export interface Waiter {
  readonly account: string;
  readonly rank: Rank;
  readonly cost: number;
  readonly weight: number;
  readonly expiresAt: number;
  readonly yieldCount: number;
  readonly settle: (result: Result<Permit, Refusal>) => void;
  /** Verdict of the refusal when the wait ends without a permit. */
  readonly verdict: Refusal["verdict"];
}

/** State of a permit. */
export interface PermitState {
  readonly waiter: Waiter;
  readonly admittedAt: number;
  readonly priority: number;
  readonly yieldController: AbortController;
  /** False once the permit is released or its request yields. */
  isInFlight: boolean;
  /** Whether the owner of the permit has read the yield signal. */
  canYield: boolean;
  isReleased: boolean;
  hasFirstToken: boolean;
}

/** Creates one value for each rank. */
export function createRankTable<Value>(
  create: () => Value,
): Record<Rank, Value> {
  return { urgent: create(), normal: create(), batch: create() };
}

/** Creates the refusal of a request whose wait would be too long. */
export function createOverloadRefusal(
  rank: Rank,
  expectedMs: number,
  verdict: Refusal["verdict"],
): Refusal {
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, Math.ceil(expectedMs)),
  );
  return new Refusal(
    "overloaded",
    verdict,
    `the wait of ${rank} requests exceeds the target of the rank`,
    retryAfterMs,
  );
}
