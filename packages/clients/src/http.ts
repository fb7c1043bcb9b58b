/**
 * JSON calls over HTTP with time limits, shared by the clients.
 *
 * @module
 */
import { type Clock, withDeadline } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { type Dispatcher, request } from "undici";
import type { z } from "zod";
import { createFault, type Fault } from "./fault.ts";

/** One JSON call over HTTP. */
export interface JsonCall<Reply> {
  readonly address: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly schema: z.ZodType<Reply>;
  readonly signal?: AbortSignal | undefined;
  /** Keeps the last response, so that an unchanged one is not sent again. */
  readonly cache?: ReplyCache<Reply>;
}

/** The last response to a call, with its ETag. */
export interface ReplyCache<Reply> {
  last?: { readonly etag: string; readonly value: Reply };
}

const OK_STATUS = 200;
const NOT_MODIFIED_STATUS = 304;
/** Statuses with which the platform and the engines refuse before acting. */
const REFUSAL_STATUSES = new Set([400, 404, 405, 409, 413]);
const JSON_HEADERS = { "content-type": "application/json" };

/** Makes a JSON call and validates the response against its schema. */
export async function callJson<Reply>(
  clock: Clock,
  dispatcher: Dispatcher,
  call: JsonCall<Reply>,
): Promise<Result<Reply, Fault>> {
  try {
    return await withDeadline(
      clock,
      call.timeoutMs,
      call.signal,
      (signal) => sendCall(dispatcher, call, signal),
    );
  } catch (failure) {
    return Result.err(createFault(failure));
  }
}

async function sendCall<Reply>(
  dispatcher: Dispatcher,
  call: JsonCall<Reply>,
  signal: AbortSignal,
): Promise<Result<Reply, Fault>> {
  const reply = await request(`http://${call.address}${call.path}`, {
    dispatcher,
    method: call.method,
    headers: createHeaders(call.cache?.last?.etag),
    body: call.body === undefined ? null : JSON.stringify(call.body),
    signal,
  });
  if (reply.statusCode === NOT_MODIFIED_STATUS && call.cache?.last) {
    await reply.body.dump();
    return Result.ok(call.cache.last.value);
  }
  const value: unknown = await reply.body.json();
  if (reply.statusCode !== OK_STATUS) {
    return Result.err(createReplyFault(reply.statusCode, value));
  }
  const parsed = call.schema.safeParse(value);
  if (!parsed.success) {
    return Result.err({
      verdict: "ran",
      message: "the response body does not match the expected schema",
      status: reply.statusCode,
    });
  }
  const etag = reply.headers["etag"];
  if (call.cache !== undefined && typeof etag === "string") {
    call.cache.last = { etag, value: parsed.data };
  }
  return Result.ok(parsed.data);
}

function createHeaders(etag: string | undefined): Record<string, string> {
  return etag === undefined
    ? JSON_HEADERS
    : { ...JSON_HEADERS, "if-none-match": etag };
}

/** With any status that is not a refusal, the call may have taken effect. */
function createReplyFault(status: number, value: unknown): Fault {
  const reason = typeof value === "object" && value !== null &&
      "error" in value && typeof value.error === "string"
    ? value.error
    : undefined;
  return {
    verdict: REFUSAL_STATUSES.has(status) ? "not-run" : "may-have-run",
    message: `the call failed with HTTP status ${status}${
      reason ? `: ${reason}` : ""
    }`,
    status,
    ...(reason === undefined ? {} : { reason }),
  };
}
