/**
 * Calls of client accounts to plain services, their replies and refusals.
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
  /** The path after the name of the service, with the query string. */
  readonly path: string;
  /** Headers for the upstream, in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly idempotencyKey: string;
  readonly body: Buffer;
}

/** The reply of a plain service, or why there is none. */
export type ServiceReply = Result<PlainServiceReply, Refusal>;

const RETRY_AFTER_MS = 1000;

/** Hashes the client account, the service and the idempotency key. */
export function hashCallKey(call: ServiceCall): string {
  return hashParts(call.account, call.service.name, call.idempotencyKey);
}

/** Hashes what a repeat with the same key must have in common with the call. */
export function hashRequest(call: ServiceCall): string {
  return hashParts(call.method, call.path, call.body);
}

/** Creates the reply to a repeat from the record of the first call. */
export function createRepeatReply(
  remembered: RememberedCall,
  bodyHash: string,
): ServiceReply {
  const isRequestKnown = remembered.bodyHash !== "";
  if (isRequestKnown && remembered.bodyHash !== bodyHash) {
    return Result.err(
      new Refusal(
        "key-reused",
        "not-run",
        "the idempotency key was already used with a different request",
      ),
    );
  }
  if (remembered.outcome === undefined) {
    return Result.err(
      new Refusal(
        "call-in-progress",
        "may-have-run",
        "the first call with this idempotency key has no known outcome yet",
      ),
    );
  }
  const { verdict, status, contentType, body } = remembered.outcome;
  if (verdict !== "ran") {
    return Result.err(createUpstreamRefusal(verdict));
  }
  if (body === undefined || !isRequestKnown) {
    return Result.err(
      new Refusal(
        "reply-not-kept",
        "ran",
        `the call ran with status ${status}, but its reply is not available`,
      ),
    );
  }
  return Result.ok({ status, contentType, body: Buffer.from(body, "base64") });
}

/** Creates the refusal of a call that cannot be recorded before dispatch. */
export function createLogUnavailableRefusal(): Refusal {
  return new Refusal(
    "log-unavailable",
    "not-run",
    "the call could not be recorded in the log",
    RETRY_AFTER_MS,
  );
}

/** Creates the refusal of a call that did not run before its deadline. */
export function createDeadlineRefusal(): Refusal {
  return new Refusal(
    "deadline",
    "not-run",
    "the deadline passed before the call ran",
  );
}

const UPSTREAM_REFUSALS: { readonly [Kind in Verdict]: () => Refusal } = {
  "not-run": () =>
    new Refusal(
      "upstream-unavailable",
      "not-run",
      "no upstream accepted the call",
      RETRY_AFTER_MS,
    ),
  "may-have-run": () =>
    new Refusal(
      "outcome-unknown",
      "may-have-run",
      "the outcome of the call is unknown",
    ),
  "ran": () =>
    new Refusal(
      "reply-not-kept",
      "ran",
      "the call ran, but its reply is too large",
    ),
};

/**
 * Creates the refusal of a call that got no usable reply from an upstream. Its
 * message does not expose which upstream it was.
 */
export function createUpstreamRefusal(verdict: Verdict): Refusal {
  return UPSTREAM_REFUSALS[verdict]();
}

function hashParts(...parts: readonly (string | Buffer)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    // The length prefix keeps different lists of parts from hashing alike.
    hash.update(`${Buffer.byteLength(part)}:`).update(part);
  }
  return hash.digest("base64url");
}
