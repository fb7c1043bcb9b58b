/**
 * JSON over HTTP with deadlines, shared by the clients.
 *
 * @module
 */
import { type Clock, withDeadline } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { type Dispatcher, request } from "undici";
import type { z } from "zod";
import { createFault, type Fault } from "./fault.ts";

/** One JSON call. */
export interface JsonCall<Reply> {
  readonly address: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly schema: z.ZodType<Reply>;
  readonly signal?: AbortSignal | undefined;
  /** Keeps the last reply, so that one that did not change is not sent again. */
  readonly cache?: ReplyCache<Reply>;
}

/** The last reply to a call, with the tag that the other side gave it. */
export interface ReplyCache<Reply> {
  last?: { readonly tag: string; readonly value: Reply };
}

const OK_STATUS = 200;
const NOT_MODIFIED_STATUS = 304;
/** Statuses by which the platform and the engines refuse before they act. */
const REFUSAL_STATUSES = new Set([400, 404, 405, 409, 413]);
const JSON_HEADERS = { "content-type": "application/json" };

/** Makes a JSON call and checks the reply against its schema. */
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
      (signal) => exchange(dispatcher, call, signal),
    );
  } catch (failure) {
    return Result.err(createFault(failure));
  }
}

async function exchange<Reply>(
  dispatcher: Dispatcher,
  call: JsonCall<Reply>,
  signal: AbortSignal,
): Promise<Result<Reply, Fault>> {
  const reply = await request(`http://${call.address}${call.path}`, {
    dispatcher,
    method: call.method,
    headers: createHeaders(call.cache?.last?.tag),
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
      message: "the reply does not match its schema",
      status: reply.statusCode,
    });
  }
  const tag = reply.headers["etag"];
  if (call.cache !== undefined && typeof tag === "string") {
    call.cache.last = { tag, value: parsed.data };
  }
  return Result.ok(parsed.data);
}

function createHeaders(tag: string | undefined): Record<string, string> {
  return tag === undefined
    ? JSON_HEADERS
    : { ...JSON_HEADERS, "if-none-match": tag };
}

/** After any other status the call may have taken effect. */
function createReplyFault(status: number, value: unknown): Fault {
  const reason = typeof value === "object" && value !== null &&
      "error" in value && typeof value.error === "string"
    ? value.error
    : undefined;
  return {
    verdict: REFUSAL_STATUSES.has(status) ? "not-run" : "may-have-run",
    message: `refused with status ${status}${reason ? `: ${reason}` : ""}`,
    status,
    ...(reason === undefined ? {} : { reason }),
  };
}
