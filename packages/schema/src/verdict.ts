/**
 * Verdicts: what is known about whether a request has run.
 *
 * @module
 */
import * as z from "zod";

/** Whether a request that got no answer has run. */
export const Verdict = z.enum(["not-run", "may-have-run", "ran"]);
/** Whether a request that got no answer has run. */
export type Verdict = z.infer<typeof Verdict>;

/** HTTP status and error type of each refusal code. */
const REFUSALS = {
  "bad-request": { status: 400, type: "invalid_request_error" },
  "unauthorized": { status: 401, type: "authentication_error" },
  "forbidden": { status: 403, type: "permission_error" },
  "not-found": { status: 404, type: "invalid_request_error" },
  "unknown-model": { status: 404, type: "invalid_request_error" },
  "unknown-service": { status: 404, type: "invalid_request_error" },
  "method-not-allowed": { status: 405, type: "invalid_request_error" },
  "conflict": { status: 409, type: "conflict_error" },
  "call-in-progress": { status: 409, type: "conflict_error" },
  "too-large": { status: 413, type: "invalid_request_error" },
  "head-too-large": { status: 431, type: "invalid_request_error" },
  "unread-request": { status: 408, type: "invalid_request_error" },
  "reply-not-kept": { status: 409, type: "conflict_error" },
  "key-reused": { status: 422, type: "invalid_request_error" },
  "account-limit": { status: 429, type: "rate_limit_error" },
  "overloaded": { status: 503, type: "overloaded_error" },
  "no-group": { status: 503, type: "overloaded_error" },
  "no-upstream": { status: 503, type: "overloaded_error" },
  "no-configuration": { status: 503, type: "unavailable_error" },
  "stale-configuration": { status: 503, type: "unavailable_error" },
  "quarantined": { status: 503, type: "unavailable_error" },
  "upstream-refused": { status: 503, type: "overloaded_error" },
  "log-unavailable": { status: 503, type: "unavailable_error" },
  "upstream-unavailable": { status: 502, type: "unavailable_error" },
  "stopping": { status: 503, type: "unavailable_error" },
  "deadline": { status: 504, type: "timeout_error" },
  "outcome-unknown": { status: 504, type: "timeout_error" },
  "internal": { status: 500, type: "internal_error" },
} as const;

/** Why a request was refused. */
export type RefusalCode = keyof typeof REFUSALS;

/** The JSON response to a request that was not answered. */
export interface RefusalBody {
  readonly error: {
    readonly code: RefusalCode;
    readonly message: string;
    readonly verdict: Verdict;
    readonly type: string;
  };
}

/** A request that was not answered, with the verdict on whether it has run. */
export class Refusal extends Error {
  override name = "Refusal";
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  /** How long the caller should wait before it retries. */
  readonly retryAfterMs: number | undefined;

  constructor(
    code: RefusalCode,
    verdict: Verdict,
    message: string,
    retryAfterMs?: number,
  ) {
    super(message);
    this.code = code;
    this.verdict = verdict;
    this.retryAfterMs = retryAfterMs;
  }

  /** The HTTP status of the refusal. */
  get status(): number {
    return REFUSALS[this.code].status;
  }

  /** The documented JSON form of the refusal. */
  toBody(): RefusalBody {
    return {
      error: {
        code: this.code,
        message: this.message,
        verdict: this.verdict,
        type: REFUSALS[this.code].type,
      },
    };
  }
}
