/**
 * Creates the request that an upstream receives.
 *
 * @module
 */
import type { HeaderCodec } from "../adapter.ts";
import type { Selection } from "../routing/dispatcher.ts";
import type { UpstreamRequest } from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";

/** Time for the response to reach the caller. */
const RESPONSE_MARGIN_MS = 5;
const MAX_PRIORITY = 9;

/** Creates the request for the selected instance. */
export function createUpstreamRequest(
  codec: HeaderCodec,
  request: RelayedRequest,
  { instance }: Selection,
  remainingMs: number,
  lastEventId: string | undefined,
): UpstreamRequest {
  const { incoming, metadata, service, account, rank, body } = request;
  const headers = codec.createForwardHeaders(incoming, {
    deadlineMs: Math.max(1, Math.floor(remainingMs - RESPONSE_MARGIN_MS)),
    instance: instance.id,
    account: account?.name,
    priority: service.engine === undefined
      ? undefined
      : Math.min(MAX_PRIORITY, rank),
    lastEventId,
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
  };
}
