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

/** A stream of server-sent events (SSE) from the lead of a group. */
export interface EngineStream {
  /** The request id that the engine returned in its response. */
  readonly requestId: string;
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Closes the connection. */
  close(): void;
}

/** Operations on the engines of all model hosts. */
export interface Engines extends Service {
  /** Reads an engine's status, never on a connection used by a stream. */
  probe(
    address: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>>;
  /** Sends an order to an engine. */
  sendOrder(
    address: string,
    order: EngineOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>>;
  /** Starts or resumes a stream. */
  generate(
    address: string,
    body: GenerateRequest,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, Fault>>;
  /** Asks an engine to cancel a request. */
  cancel(address: string, requestId: string): Promise<Result<void, Fault>>;
  /** Reads changes of the engine's prefix cache, from a sequence number on. */
  readCacheEvents(
    address: string,
    fromSequence: number,
    signal?: AbortSignal,
  ): Promise<Result<CacheEvents, Fault>>;
}

/** Options of `generate`. */
export interface GenerateOptions {
  /** Time limit for the response headers. */
  readonly timeoutMs: number;
  /** Whether the request is sent on a new connection, not a pooled one. */
  readonly usesNewConnection: boolean;
  readonly signal?: AbortSignal;
}

const CANCEL_TIMEOUT_MS = 1000;
const CACHE_EVENTS_TIMEOUT_MS = 1000;
const OK_STATUS = 200;
/** Statuses with which an engine refuses a request before running it. */
const REFUSAL_STATUSES = new Set([409, 503]);
const MAX_REASON_LENGTH = 200;
/** Shared abort reason, as a default one captures a stack trace per close. */
const STREAM_CLOSED = new Error("the stream was closed");
const JSON_HEADERS = { "content-type": "application/json" };
/** The callers set the time limits, so those of undici are disabled. */
const NO_TIMEOUTS = { bodyTimeout: 0, headersTimeout: 0 };

/** HTTP client of the engines. */
export class EngineClient implements Engines {
  #clock: Clock;
  #streamAgent: Agent;
  /**
   * Without keep-alive, as a pooled connection may be dead without notice and
   * a resumed stream must not be sent on it.
   */
  #newConnectionAgent: Agent;
  /** For probes, orders and other short calls; separate from streams. */
  #controlAgent: Agent;

  constructor(clock: Clock, traffic: TrafficCounter = new TrafficCounter()) {
    this.#clock = clock;
    this.#streamAgent = traffic.createAgent("streams", NO_TIMEOUTS);
    this.#newConnectionAgent = traffic.createAgent("streams", {
      ...NO_TIMEOUTS,
      pipelining: 0,
    });
    this.#controlAgent = traffic.createAgent("probes", NO_TIMEOUTS);
  }

  async stop(): Promise<void> {
    await Promise.all([
      this.#streamAgent.destroy(),
      this.#newConnectionAgent.destroy(),
      this.#controlAgent.destroy(),
    ]);
  }

  probe(
    address: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EngineStatus, Fault>> {
    return callJson(this.#clock, this.#controlAgent, {
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
    return callJson(this.#clock, this.#controlAgent, {
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
              ? this.#newConnectionAgent
              : this.#streamAgent,
            method: "POST",
            headers: JSON_HEADERS,
            body: JSON.stringify(body),
            signal: controller.signal,
          });
          return await openStream(reply, close);
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
    const reply = await callJson(this.#clock, this.#controlAgent, {
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
    fromSequence: number,
    signal?: AbortSignal,
  ): Promise<Result<CacheEvents, Fault>> {
    return callJson(this.#clock, this.#controlAgent, {
      address,
      method: "GET",
      path: `/cache-events?from=${fromSequence}`,
      timeoutMs: CACHE_EVENTS_TIMEOUT_MS,
      schema: CacheEvents,
      signal,
    });
  }
}

async function openStream(
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
      message: `the engine returned HTTP status ${reply.statusCode}`,
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

/** Reads the start of an error response's body. */
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
