/**
 * Faults of calls to the platform and to upstreams.
 *
 * @module
 */
import { describeError } from "@zinniahill/kernel";
import type { Verdict } from "@zinniahill/schema";

/** A call that got no usable reply, and whether it may have taken effect. */
export interface Fault {
  readonly verdict: Verdict;
  readonly message: string;
  /** HTTP status, when there was a reply. */
  readonly status?: number;
  /** The upstream's own reason, when it gave one. */
  readonly reason?: string;
}

/** Error codes raised before any byte of the request was written. */
const CODES_BEFORE_WRITE = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Derives from a thrown error whether the call may have taken effect. */
export function createFault(failure: unknown): Fault {
  return {
    verdict: CODES_BEFORE_WRITE.has(findCode(failure))
      ? "not-run"
      : "may-have-run",
    message: describeError(failure),
  };
}

function findCode(failure: unknown): string {
  if (!(failure instanceof Error)) {
    return "";
  }
  const code = "code" in failure ? String(failure.code) : "";
  return CODES_BEFORE_WRITE.has(code) ? code : findCode(failure.cause);
}
