/**
 * Calls of client accounts to plain services, and what they are told.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { PlainServiceReply } from "@zinniahill/clients";
import type { RememberedCall } from "@zinniahill/policy";
import { Refusal, type ServiceRule, type Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";

/** A call of a client account to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly account: string;
  readonly service: ServiceRule;
  readonly method: string;
  /** The path after the service's name, with the query string. */
  readonly path: string;
  /** Headers for the upstream, in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly idempotencyKey: string;
  readonly body: Buffer;
}

/** What a caller of a plain service receives. */
export type ServiceReply = Result<PlainServiceReply, Refusal>;

const RETRY_AFTER_MS = 1000;

/** Hashes what a key stands for: client account, service and key. */
export function hashCallKey(call: ServiceCall): string {
  return hashParts(call.account, call.service.name, call.idempotencyKey);
}

/** Hashes what must be the same when a key is used again. */
export function hashRequest(call: ServiceCall): string {
  return hashParts(call.method, call.path, call.body);
}

/** Answers a repeat from what is remembered of the first call. */
export function createRepeatReply(
  known: RememberedCall,
  bodyHash: string,
): ServiceReply {
  if (known.bodyHash !== bodyHash) {
    return Result.err(
      new Refusal(
        "key-reused",
        "not-run",
        "the idempotency key was used with another request",
      ),
    );
  }
  if (known.outcome === undefined) {
    return Result.err(
      new Refusal(
        "call-in-progress",
        "may-have-run",
        "the first call with this key has no known outcome",
      ),
    );
  }
  const { verdict, status, contentType, body } = known.outcome;
  if (verdict !== "ran") {
    return Result.err(createUpstreamRefusal(verdict));
  }
  if (body === undefined) {
    return Result.err(
      new Refusal(
        "reply-not-kept",
        "ran",
        `the call ran with status ${status}; its reply is not kept`,
      ),
    );
  }
  return Result.ok({ status, contentType, body: Buffer.from(body, "base64") });
}

/** The refusal of a call that cannot be recorded before it is dispatched. */
export function createLogUnavailableRefusal(): Refusal {
  return new Refusal(
    "log-unavailable",
    "not-run",
    "the call cannot be recorded now",
    RETRY_AFTER_MS,
  );
}

/** The refusal of a call that was never dispatched in time. */
export function createDeadlineRefusal(): Refusal {
  return new Refusal("deadline", "not-run", "the deadline passed");
}

const UPSTREAM_REFUSALS: { readonly [Kind in Verdict]: () => Refusal } = {
  "not-run": () =>
    new Refusal(
      "upstream-unavailable",
      "not-run",
      "no upstream has taken the call",
      RETRY_AFTER_MS,
    ),
  "may-have-run": () =>
    new Refusal(
      "outcome-unknown",
      "may-have-run",
      "the outcome of the call is not known",
    ),
  "ran": () =>
    new Refusal(
      "reply-not-kept",
      "ran",
      "the call ran; its reply is too large",
    ),
};

/**
 * The refusal of a call that got no usable reply from its upstream. It does not
 * name the upstream, which is no concern of the caller.
 */
export function createUpstreamRefusal(verdict: Verdict): Refusal {
  return UPSTREAM_REFUSALS[verdict]();
}

function hashParts(...parts: readonly (string | Buffer)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    // The length keeps two lists of parts from having the same bytes.
    hash.update(`${Buffer.byteLength(part)}:`).update(part);
  }
  return hash.digest("base64url");
}
