/**
 * Client of the model engines.
 *
 * @module
 */
import { type Clock, type Service, withDeadline } from "@zinniahill/kernel";
import {
  CacheEvents,
  type EngineOrder,
  EngineStatus,
  type GenerateRequest,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import { type Agent, type Dispatcher, request } from "undici";
import * as z from "zod";
import { createFault, type Fault } from "./fault.ts";
import { callJson } from "./http.ts";
import { TrafficCounter } from "./traffic-counter.ts";

/** A stream of server-sent events from the lead of a group. */
export interface EngineStream {
  /** The request id as the engine repeated it. */
  readonly requestId: string;
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Closes the connection. */
  close(): void;
}

/** The engines of all model hosts. */
export interface Engines extends Service {
  /** Asks for an engine's status, on a connection of its own. */
  probe(
    address: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>>;
  /** Gives an order. */
  sendOrder(
    address: string,
    order: EngineOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>>;
  /** Begins or resumes a stream. */
  generate(
    address: string,
    body: GenerateRequest,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, Fault>>;
  /** Cancels a request. */
  cancel(address: string, requestId: string): Promise<Result<void, Fault>>;
  /** Reads changes of the engine's prefix cache. */
  readCacheEvents(
    address: string,
    from: number,
    signal?: AbortSignal,
  ): Promise<Result<CacheEvents, Fault>>;
}

/** How a stream is begun. */
export interface GenerateOptions {
  /** How long the engine may take to answer with its headers. */
  readonly timeoutMs: number;
  /** Whether a new connection must be used. */
  readonly usesNewConnection: boolean;
  readonly signal?: AbortSignal;
}

const CANCEL_TIMEOUT_MS = 1000;
const CACHE_TIMEOUT_MS = 1000;
const OK_STATUS = 200;
/** Statuses by which an engine refuses a request before it runs. */
const REFUSAL_STATUSES = new Set([409, 503]);
const MAX_REASON_LENGTH = 200;
/** Without a reason, each close would record a stack of its own. */
const STREAM_CLOSED = new Error("the stream was closed");
const JSON_HEADERS = { "content-type": "application/json" };
/** The callers of the client set the deadlines. */
const UNLIMITED = { bodyTimeout: 0, headersTimeout: 0 };

/** The engines over HTTP. */
export class EngineClient implements Engines {
  #clock: Clock;
  #streams: Agent;
  /** Without keep-alive; a resumed stream must not meet a silent connection. */
  #newConnections: Agent;
  /** Probes and orders never share a connection with a stream. */
  #control: Agent;

  constructor(clock: Clock, traffic: TrafficCounter = new TrafficCounter()) {
    this.#clock = clock;
    this.#streams = traffic.createAgent("streams", UNLIMITED);
    this.#newConnections = traffic.createAgent("streams", {
      ...UNLIMITED,
      pipelining: 0,
    });
    this.#control = traffic.createAgent("probes", UNLIMITED);
  }

  async stop(): Promise<void> {
    await Promise.all([
      this.#streams.destroy(),
      this.#newConnections.destroy(),
      this.#control.destroy(),
    ]);
  }

  probe(
    address: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>> {
    return callJson(this.#clock, this.#control, {
      address,
      method: "GET",
      path: "/status",
      timeoutMs,
      schema: EngineStatus,
      signal,
    });
  }

  sendOrder(
    address: string,
    order: EngineOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>> {
    return callJson(this.#clock, this.#control, {
      address,
      method: "POST",
      path: "/orders",
      body: order,
      timeoutMs,
      schema: EngineStatus,
      signal,
    });
  }

  async generate(
    address: string,
    body: GenerateRequest,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, Fault>> {
    const controller = new AbortController();
    const onAbort = () => controller.abort(options.signal?.reason);
    options.signal?.addEventListener("abort", onAbort, { once: true });
    const close = () => {
      options.signal?.removeEventListener("abort", onAbort);
      controller.abort(STREAM_CLOSED);
    };
    try {
      return await withDeadline(
        this.#clock,
        options.timeoutMs,
        options.signal,
        async () => {
          const reply = await request(`http://${address}/generate`, {
            dispatcher: options.usesNewConnection
              ? this.#newConnections
              : this.#streams,
            method: "POST",
            headers: JSON_HEADERS,
            body: JSON.stringify(body),
            signal: controller.signal,
          });
          return await readReply(reply, close);
        },
      );
    } catch (failure) {
      close();
      return Result.err(createFault(failure));
    }
  }

  async cancel(
    address: string,
    requestId: string,
  ): Promise<Result<void, Fault>> {
    const reply = await callJson(this.#clock, this.#control, {
      address,
      method: "POST",
      path: "/cancel",
      body: { request: requestId },
      timeoutMs: CANCEL_TIMEOUT_MS,
      schema: z.unknown(),
    });
    return reply.map(() => undefined);
  }

  readCacheEvents(
    address: string,
    from: number,
    signal?: AbortSignal,
  ): Promise<Result<CacheEvents, Fault>> {
    return callJson(this.#clock, this.#control, {
      address,
      method: "GET",
      path: `/cache-events?from=${from}`,
      timeoutMs: CACHE_TIMEOUT_MS,
      schema: CacheEvents,
      signal,
    });
  }
}

async function readReply(
  reply: Dispatcher.ResponseData,
  close: () => void,
): Promise<Result<EngineStream, Fault>> {
  if (reply.statusCode !== OK_STATUS) {
    const reason = await readReason(reply);
    close();
    return Result.err({
      verdict: REFUSAL_STATUSES.has(reply.statusCode)
        ? "not-run"
        : "may-have-run",
      message: `refused with status ${reply.statusCode}`,
      status: reply.statusCode,
      reason,
    });
  }
  return Result.ok({
    requestId: String(reply.headers["x-request"] ?? ""),
    chunks: reply.body,
    close,
  });
}

/** Reads the start of a refusal's body. */
async function readReason(reply: Dispatcher.ResponseData): Promise<string> {
  let text = "";
  for await (const chunk of reply.body) {
    text += String(chunk);
    if (text.length >= MAX_REASON_LENGTH) {
      break;
    }
  }
  return text.slice(0, MAX_REASON_LENGTH);
}
