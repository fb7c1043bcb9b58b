/**
 * Writes answers and refusals to callers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Refusal } from "@zinniahill/schema";
import type { UpstreamReply } from "./exchange.ts";
import { filterHeaders } from "./headers.ts";

const MS_PER_SECOND = 1000;
const NO_BODY_STATUSES = new Set([204, 304]);
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Writes an upstream's whole response unchanged. */
export function writeWholeReply(
  response: ServerResponse,
  method: string,
  { status, rawHeaders }: UpstreamReply,
  chunks: readonly Buffer[],
): void {
  const isBodyless = method === "HEAD" || NO_BODY_STATUSES.has(status);
  const headers = filterHeaders(
    rawHeaders,
    isBodyless ? NO_HEADERS : LENGTH_HEADERS,
  );
  if (isBodyless) {
    writeHead(response, status, headers);
    response.end();
    return;
  }
  const body = Buffer.concat(chunks);
  headers.push("content-length", String(body.length));
  writeHead(response, status, headers);
  response.end(body);
}

/** Writes the head of a stream. */
export function writeStreamHead(
  response: ServerResponse,
  { status, rawHeaders }: UpstreamReply,
): void {
  writeHead(response, status, filterHeaders(rawHeaders, LENGTH_HEADERS));
}

/** Writes a refusal; a response that has begun is broken off instead. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.destroyed) {
    return;
  }
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = Buffer.from(JSON.stringify(refusal.toBody()));
  const headers = [
    "content-type",
    "application/json",
    "content-length",
    String(body.length),
  ];
  if (refusal.retryAfterMs !== undefined) {
    const seconds = refusal.retryAfterMs / MS_PER_SECOND;
    headers.push("retry-after", seconds.toFixed(2));
  }
  writeHead(response, refusal.status, headers);
  response.end(body);
}

function writeHead(
  response: ServerResponse,
  status: number,
  headers: string[],
): void {
  // Headers set before, such as `connection: close`, are kept: the library
  // ignores them when it is given a list.
  for (const [name, value] of Object.entries(response.getHeaders())) {
    headers.push(name, String(value));
  }
  response.writeHead(status, STATUS_CODES[status] ?? "", headers);
}
