/**
 * Client of plain services: upstreams that are not model engines.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Clock, type Service, withDeadline } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { type Agent, type Dispatcher, request } from "undici";
import { TrafficCounter } from "./traffic-counter.ts";
import { createFault, type Fault } from "./fault.ts";
import { isStatusCode } from "./status-code.ts";

/** One call to a plain service. */
export interface PlainServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A plain service's response. */
export interface PlainServiceReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  /** End-to-end headers of the response, without its content type. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** Calls to plain services. */
export interface PlainServices extends Service {
  /** Makes one call, on a new connection. */
  call(
    address: string,
    call: PlainServiceCall,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<PlainServiceReply, Fault>>;
}

const NOT_RUN_STATUS = 503;
const NOT_RUN_HEADER = "x-not-run";
const NOT_RUN_VALUE = "1";
/** Responses are buffered in memory, so a larger one is dropped. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;
/** Hop-by-hop headers, and headers that the node sets itself. */
const EXCLUDED_HEADERS = new Set([
  "connection",
  "content-length",
  "content-type",
  "keep-alive",
  "proxy-authenticate",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * HTTP client of plain services. Each call uses a new connection: if the other
 * side closes a reused one, it is unknown whether the call has run.
 */
export class PlainServiceClient implements PlainServices {
  #clock: Clock;
  #agent: Agent;

  constructor(clock: Clock, traffic: TrafficCounter = new TrafficCounter()) {
    this.#clock = clock;
    this.#agent = traffic.createAgent("calls", {
      bodyTimeout: 0,
      headersTimeout: 0,
      pipelining: 0,
    });
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async call(
    address: string,
    call: PlainServiceCall,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<PlainServiceReply, Fault>> {
    try {
      return await withDeadline(
        this.#clock,
        timeoutMs,
        signal,
        async (deadlineSignal) => {
          const reply = await request(`http://${address}${call.path}`, {
            dispatcher: this.#agent,
            method: call.method as Dispatcher.HttpMethod,
            headers: call.headers,
            body: call.body.length > 0 ? call.body : null,
            signal: deadlineSignal,
          });
          return await readReply(reply);
        },
      );
    } catch (failure) {
      return Result.err(createFault(failure));
    }
  }
}

async function readReply(
  reply: Dispatcher.ResponseData,
): Promise<Result<PlainServiceReply, Fault>> {
  if (!isStatusCode(reply.statusCode)) {
    // The failure of a body that is given up is irrelevant.
    reply.body.on("error", () => {}).destroy();
    return Result.err({
      verdict: "may-have-run",
      message: `${reply.statusCode} is not an HTTP status code`,
    });
  }
  const isRefusal = reply.statusCode === NOT_RUN_STATUS &&
    reply.headers[NOT_RUN_HEADER] === NOT_RUN_VALUE;
  if (isRefusal) {
    await reply.body.dump();
    return Result.err({
      verdict: "not-run",
      message: "the upstream refused the call",
      status: reply.statusCode,
    });
  }
  const body = await readBody(reply.body);
  if (body === undefined) {
    return Result.err({
      verdict: "ran",
      message: `the response body exceeds ${MAX_REPLY_BYTES} bytes`,
      status: reply.statusCode,
    });
  }
  return Result.ok({
    status: reply.statusCode,
    contentType: String(reply.headers["content-type"] ?? ""),
    body,
    headers: selectEndToEndHeaders(reply.headers),
  });
}

/** Reads a body; undefined if it exceeds the size limit. */
async function readBody(
  stream: AsyncIterable<Buffer>,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of stream) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_REPLY_BYTES) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function selectEndToEndHeaders(
  headers: Dispatcher.ResponseData["headers"],
): Record<string, string> {
  const endToEnd = Object.entries(headers).filter(([name, value]) =>
    !EXCLUDED_HEADERS.has(name) && typeof value === "string"
  );
  return Object.fromEntries(endToEnd) as Record<string, string>;
}
