/**
 * Refusals of requests that no upstream has answered.
 *
 * @module
 */
import { mayRunAgain } from "@zinniahill/policy";
import { Refusal, type Verdict } from "@zinniahill/schema";
import type { RelayedRequest } from "./relayed-request.ts";

/** Another node or instance may well accept the request. */
export const REFUSED_RETRY_AFTER_MS = 100;

/** Whether a request may safely be sent to another instance. */
export function isRetryable({ route, mayHaveRun }: RelayedRequest): boolean {
  return !mayHaveRun || mayRunAgain(route.repetition);
}

/** Returns the verdict on a request over all its attempts. */
export function deriveVerdict({ mayHaveRun }: RelayedRequest): Verdict {
  return mayHaveRun ? "may-have-run" : "not-run";
}

/** Creates the refusal of a request that was sent and is not retried. */
export function createFaultRefusal(
  { mayHaveRun }: RelayedRequest,
  message: string,
): Refusal {
  return mayHaveRun
    ? new Refusal("upstream-unavailable", "may-have-run", message)
    : new Refusal(
      "upstream-refused",
      "not-run",
      message,
      REFUSED_RETRY_AFTER_MS,
    );
}
