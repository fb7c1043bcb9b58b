/**
 * Writes responses and refusals to callers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type ServerResponse, STATUS_CODES } from "node:http";
import { Socket } from "node:net";
import type { Refusal } from "@zinniahill/schema";
import type { UpstreamResponse } from "./exchange.ts";
import { filterHeaders } from "./headers.ts";

const MS_PER_SECOND = 1000;
const NO_BODY_STATUSES = new Set([204, 304]);
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Writes the complete response of an upstream unchanged. */
export function writeBufferedResponse(
  response: ServerResponse,
  method: string,
  { status, rawHeaders }: UpstreamResponse,
  body: Buffer,
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
  headers.push("content-length", String(body.length));
  writeHead(response, status, headers);
  response.end(body);
}

/** Resolves once the caller has read enough for more bytes, or is gone. */
export function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (!response.writableNeedDrain) {
      resolve();
      return;
    }
    const onReady = () => {
      response.off("drain", onReady);
      response.off("close", onReady);
      resolve();
    };
    response.on("drain", onReady);
    response.on("close", onReady);
  });
}

/** Writes the response head of a stream. */
export function writeStreamHead(
  response: ServerResponse,
  { status, rawHeaders }: UpstreamResponse,
): void {
  writeHead(response, status, filterHeaders(rawHeaders, LENGTH_HEADERS));
}

/** Writes a refusal, or closes the connection if the response has begun. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.destroyed) {
    return;
  }
  if (response.headersSent) {
    breakOff(response);
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

/** Closes the connection so that the response does not look complete. */
function breakOff(response: ServerResponse): void {
  const { socket } = response;
  if (response.chunkedEncoding || !(socket instanceof Socket)) {
    response.destroy();
    return;
  }
  // Without chunks, as for HTTP/1.0, a plain close is the end of the body.
  socket.resetAndDestroy();
}

function writeHead(
  response: ServerResponse,
  status: number,
  headers: string[],
): void {
  // Keeps headers that were set before, such as `connection: close`: Node
  // ignores them when `writeHead` gets a list.
  for (const [name, value] of Object.entries(response.getHeaders())) {
    headers.push(name, String(value));
  }
  response.writeHead(status, STATUS_CODES[status] ?? "", headers);
}
