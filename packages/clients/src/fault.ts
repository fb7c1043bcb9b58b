/**
 * Errors of calls to the platform and to upstreams.
 *
 * @module
 */
import { describeError } from "@zinniahill/kernel";
import type { Verdict } from "@zinniahill/schema";

/** Why a call has no usable response, and whether it may have taken effect. */
export interface Fault {
  readonly verdict: Verdict;
  readonly message: string;
  /**
   * Whether the other side's host refused the connection, as nothing listens at
   * the address. An unreachable host does not show that.
   */
  readonly isConnectionRefused?: boolean;
  /** HTTP status, if there was a response. */
  readonly status?: number;
  /** The reason that the other side gave, if any. */
  readonly reason?: string;
}

const REFUSED_CODE = "ECONNREFUSED";
/**
 * System call and codes of errors raised before any byte was written. An
 * established connection raises the same codes when its route fails, so a code
 * proves this only together with the system call.
 */
const CONNECT_SYSCALL = "connect";
const CONNECT_CODES = new Set([
  REFUSED_CODE,
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ETIMEDOUT",
]);

/** Converts a thrown error to a fault and derives its verdict. */
export function createFault(failure: unknown): Fault {
  return {
    verdict: isConnectFailure(failure) ? "not-run" : "may-have-run",
    message: describeError(failure),
    ...(isConnectionRefused(failure) ? { isConnectionRefused: true } : {}),
  };
}

function isConnectionRefused(failure: unknown): boolean {
  return failure instanceof Error &&
    (("code" in failure && failure.code === REFUSED_CODE) ||
      isConnectionRefused(failure.cause));
}

function isConnectFailure(failure: unknown): boolean {
  if (!(failure instanceof Error)) {
    return false;
  }
  const code = "code" in failure ? String(failure.code) : "";
  const syscall = "syscall" in failure ? String(failure.syscall) : "";
  return (syscall === CONNECT_SYSCALL && CONNECT_CODES.has(code)) ||
    isConnectFailure(failure.cause);
}
