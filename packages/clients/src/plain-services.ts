/**
 * Client of plain services.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Clock, type Service, withDeadline } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { type Agent, type Dispatcher, request } from "undici";
import { TrafficCounter } from "./traffic-counter.ts";
import { createFault, type Fault } from "./fault.ts";

/** One call to a plain service. */
export interface PlainServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A plain service's answer. */
export interface PlainServiceReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  /** End-to-end headers of the reply beside its content type. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** The plain services beside the engines. */
export interface PlainServices extends Service {
  /** Makes one call, on a new connection. */
  call(
    address: string,
    call: PlainServiceCall,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<PlainServiceReply, Fault>>;
}

const REFUSED_STATUS = 503;
const NOT_RUN_HEADER = "x-not-run";
const NOT_RUN_VALUE = "1";
/** A reply beyond this size is dropped, as each one is held in memory. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;
/** Headers that belong to the connection, or that the node sets itself. */
const CONNECTION_HEADERS = new Set([
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
 * Plain services over HTTP. Each call has a connection of its own: on a reused
 * one, a close by the other side would leave unknown whether the call has run.
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
        async (limited) => {
          const reply = await request(`http://${address}${call.path}`, {
            dispatcher: this.#agent,
            method: call.method as Dispatcher.HttpMethod,
            headers: call.headers,
            body: call.body.length > 0 ? call.body : null,
            signal: limited,
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
  const isRefusal = reply.statusCode === REFUSED_STATUS &&
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
      message: `the reply is larger than ${MAX_REPLY_BYTES} bytes`,
      status: reply.statusCode,
    });
  }
  return Result.ok({
    status: reply.statusCode,
    contentType: String(reply.headers["content-type"] ?? ""),
    body,
    headers: collectHeaders(reply.headers),
  });
}

/** Reads a body up to the limit; undefined when it is larger. */
async function readBody(
  stream: AsyncIterable<Buffer>,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of stream) {
    size += chunk.length;
    if (size > MAX_REPLY_BYTES) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function collectHeaders(
  headers: Dispatcher.ResponseData["headers"],
): Record<string, string> {
  const kept = Object.entries(headers).filter(([name, value]) =>
    !CONNECTION_HEADERS.has(name) && typeof value === "string"
  );
  return Object.fromEntries(kept) as Record<string, string>;
}
