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

/**
 * System calls and codes of errors raised before any byte was written. The
 * same codes are also raised by an established connection whose route fails,
 * so a code counts only together with the system call.
 */
const CONNECT_SYSCALL = "connect";
const CONNECT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

/** Derives from a thrown error whether the call may have taken effect. */
export function createFault(failure: unknown): Fault {
  return {
    verdict: isBeforeWrite(failure) ? "not-run" : "may-have-run",
    message: describeError(failure),
  };
}

function isBeforeWrite(failure: unknown): boolean {
  if (!(failure instanceof Error)) {
    return false;
  }
  const code = "code" in failure ? String(failure.code) : "";
  const syscall = "syscall" in failure ? String(failure.syscall) : "";
  return code === CONNECT_TIMEOUT_CODE ||
    (syscall === CONNECT_SYSCALL && CONNECT_CODES.has(code)) ||
    isBeforeWrite(failure.cause);
}
