/**
 * Creates the request that an upstream receives.
 *
 * @module
 */
import type { HeaderCodec, RequestMetadata } from "../adapter.ts";
import type { RequestKind } from "../model/configuration.ts";
import type { Selection } from "../routing/dispatcher.ts";
import type { UpstreamRequest } from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";

/** Time for the response to reach the caller. */
const RESPONSE_MARGIN_MS = 5;
const MAX_PRIORITY = 9;
/** A whole body, its head, and the framing of small chunks. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Above what events take for a token, as each has fields of its own. */
const MAX_BYTES_PER_TOKEN = 4 * 1024;
/** The head of a stream, comments, and events without tokens. */
const MAX_BYTES_BESIDE_TOKENS = 1024 * 1024;
/** For streams whose number of tokens is unknown or implausible. */
const MAX_STREAM_BYTES = 64 * 1024 * 1024;

/** Bounds on all bytes of an answer, by the kind of its request. */
const MAX_ANSWER_BYTES: Readonly<
  Record<RequestKind, (metadata: RequestMetadata) => number>
> = {
  once: () => MAX_BUFFERED_BYTES,
  idempotent: () => MAX_BUFFERED_BYTES,
  stream: ({ outputTokens }) =>
    outputTokens > 0
      ? Math.min(
        MAX_STREAM_BYTES,
        MAX_BYTES_BESIDE_TOKENS + outputTokens * MAX_BYTES_PER_TOKEN,
      )
      : MAX_STREAM_BYTES,
};

/** Creates the request for the selected instance. */
export function createUpstreamRequest(
  codec: HeaderCodec,
  request: RelayedRequest,
  { instance }: Selection,
  remainingMs: number,
): UpstreamRequest {
  const { incoming, metadata, route, service, account, rank, body } = request;
  const headers = codec.createForwardHeaders(incoming, {
    deadlineMs: Math.max(1, Math.floor(remainingMs - RESPONSE_MARGIN_MS)),
    instance: instance.id,
    account: account?.name,
    priority: service.engine === undefined
      ? undefined
      : Math.min(MAX_PRIORITY, rank),
    lastEventId: request.lastEventId ?? request.metadata.lastEventId,
  });
  if (body.length > 0) {
    headers.push("content-length", String(body.length));
  }
  return {
    address: instance.address,
    method: incoming.method ?? "GET",
    target: metadata.target,
    headers,
    body,
    maxAnswerBytes: MAX_ANSWER_BYTES[route.kind](metadata),
  };
}
