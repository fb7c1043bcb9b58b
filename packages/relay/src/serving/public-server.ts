/**
 * The public HTTP server; one task for each request.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setImmediate } from "node:timers/promises";
import {
  type AppliedLimits,
  closeAfterLinger,
  ServerConnections,
  waitForTurn,
} from "@zinniahill/clients";
import {
  type Clock,
  describeError,
  type Logger,
  type Random,
  type Service,
} from "@zinniahill/kernel";
import { computeConnectionLimits } from "@zinniahill/policy";
import { Refusal } from "@zinniahill/schema";
import type { Feeds } from "../feeds/feeds.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type { Configuration } from "../model/configuration.ts";
import type { HeaderCodec, RequestMetadata } from "../adapter.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RelayMetrics } from "../relay-metrics.ts";
import type { RelayKernel } from "../services.ts";
import type { DeliveredResponse, RequestHandlers } from "./request-handlers.ts";
import type { RelayedRequest } from "./relayed-request.ts";
import { writeRefusal } from "./response-writer.ts";
import { type ArrivingRequest, RequestReader } from "./request-reader.ts";
import { UnsentAnswers } from "./unsent-answers.ts";

/** Limit of Node's HTTP parser; the configured one is checked per request. */
const MAX_HEADER_BYTES = 128 * 1024;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const UNREAD_LINGER_MS = 500;
const MAX_QUEUED_CONNECTIONS = 1024;
/** Requests that one connection may have in progress or waiting. */
const MAX_REQUESTS_PER_CONNECTION = 32;

/** Serves the HTTP requests of callers. */
export class PublicServer implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #metrics: RelayMetrics;
  #address: string;
  #lifecycle: Lifecycle;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #headerCodec: HeaderCodec;
  #reader: RequestReader;
  #handlers: RequestHandlers;
  #appliedLimits: AppliedLimits;
  #server: Server;
  #connections: ServerConnections;
  #unsent: UnsentAnswers;
  #inFlight = 0;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#metrics = kernel.find("metrics");
    this.#address = kernel.find("settings").node.publicAddress;
    this.#lifecycle = kernel.find("lifecycle");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#headerCodec = kernel.find("format");
    this.#reader = new RequestReader(kernel);
    this.#handlers = kernel.find("answers");
    this.#appliedLimits = kernel.find("appliedLimits");
    this.#unsent = new UnsentAnswers(this.#logger, this.#metrics);
    this.#configuration.onChange(({ limits }) => this.#applyLimits(limits));
    this.#lifecycle.onChange(() => {
      if (this.#lifecycle.isDraining) {
        this.#connections.announceClose();
      }
    });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
    });
    const { callers, headBytes } = computeConnectionLimits(
      kernel.find("settings").limits,
    );
    this.#connections = new ServerConnections(this.#server, {
      maxConnections: callers,
      maxHeadBytes: headBytes,
      onClose: (address, open) =>
        this.#appliedLimits.record("connections", { address, open }),
    }, (failure) => {
      const error = describeError(failure);
      this.#logger.info("request_unreadable", { error });
    });
    this.#server.on("request", (request, response) => {
      if (this.#connections.isLate(request)) {
        this.#ignore(request);
      } else {
        void this.#serve(request, response);
      }
    });
  }

  async start(): Promise<void> {
    const separator = this.#address.lastIndexOf(":");
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({
        host: this.#address.slice(0, separator),
        port: Number(this.#address.slice(separator + 1)),
        backlog: MAX_QUEUED_CONNECTIONS,
      }, resolve);
    });
  }

  stop(): Promise<void> {
    this.#unsent.abandon();
    return this.#connections.destroy();
  }

  /**
   * Stops accepting connections and ends each one after its last response;
   * resolves once callers have closed all of them, or at the limit.
   */
  finish(limitMs: number): Promise<void> {
    return this.#connections.finish(limitMs);
  }

  /** Number of requests without an answer. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of open connections of callers. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Number of answers that the operating system has not taken completely. */
  get unsent(): number {
    return this.#unsent.count;
  }

  dump(): unknown {
    return { inFlight: this.#inFlight, unsent: this.unsent };
  }

  #applyLimits(limits: Configuration["limits"]): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** A request after the last answer on its connection is never passed on. */
  #ignore(incoming: IncomingMessage): void {
    const { attemptId, target } = this.#headerCodec.parseRequest(incoming);
    this.#logger.info("request_ignored", { request: attemptId, path: target });
  }

  /** Runs the task of one request; every error is answered with a refusal. */
  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#inFlight++;
    const receivedAt = this.#clock.now();
    const metadata = this.#headerCodec.parseRequest(incoming);
    const id = metadata.attemptId ?? this.#random.id();
    if (this.#lifecycle.isDraining) {
      this.#connections.announceCloseAfter(response);
    }
    const arriving = this.#reader
      .receive(id, metadata, receivedAt, incoming, response);
    try {
      if (response.socket === null) {
        this.#checkWaiting(arriving);
        await this.#waitForTurn(arriving);
      }
      this.#checkClosing();
      const request = await this.#reader.read(arriving);
      // The body may have taken until now.
      this.#checkClosing();
      await this.#respond(request);
    } catch (failure) {
      await this.#refuse(arriving, failure);
    } finally {
      this.#inFlight--;
      this.#unsent.follow(id, response);
      if (incoming.socket.destroyed) {
        // A response that waited for its turn does not emit `close`.
        arriving.memory.close();
      }
    }
  }

  /** A request that waits is incomplete: it is given up before an answer. */
  async #waitForTurn({ memory, incoming, response }: ArrivingRequest) {
    const { socket } = incoming;
    const withdrawEviction = memory.onEvict(() => socket.destroy());
    memory.await("turn");
    if (memory.isEvicted) {
      socket.destroy();
    }
    await waitForTurn(socket, response);
    memory.resolve("turn");
    withdrawEviction();
  }

  #checkWaiting({ incoming, response }: ArrivingRequest): void {
    const owed = this.#connections.countOwed(incoming.socket);
    if (owed > MAX_REQUESTS_PER_CONNECTION) {
      response.setHeader("connection", "close");
      throw new Refusal(
        "overloaded",
        "not-run",
        "too many earlier requests of the connection are not answered",
      );
    }
  }

  #checkClosing(): void {
    if (this.#lifecycle.isClosing) {
      throw new Refusal("stopping", "not-run", "the node is shutting down", 0);
    }
  }

  async #respond(request: RelayedRequest): Promise<void> {
    const answered = await this.#handlers.handle(request);
    if (answered.isErr) {
      throw answered.error;
    }
    this.#reportResponse(request, answered.value);
  }

  #reportResponse(request: RelayedRequest, delivered: DeliveredResponse): void {
    const { route, account, receivedAt, metadata } = request;
    const now = this.#clock.now();
    this.#metrics.recordResponse(route, delivered, receivedAt, now);
    this.#logger.info("request_answered", {
      request: request.id,
      route: route.name,
      service: request.service.name,
      account: account?.name,
      ...describeModelUse(metadata),
      version: this.#configuration.current?.version,
      instance: delivered.instance,
      group: delivered.group,
      load: delivered.load,
      upstream_load: delivered.upstreamLoad,
      status: delivered.status,
      attempts: request.sentTo.size,
      events: delivered.eventCount,
      longest_gap_ms: Math.round(delivered.longestGapMs),
      first_ms: Math.round(delivered.firstByteAt - receivedAt),
      total_ms: Math.round(now - receivedAt),
    });
  }

  async #refuse(arriving: ArrivingRequest, failure: unknown): Promise<void> {
    const { id, metadata, receivedAt, incoming, response } = arriving;
    const refusal = failure instanceof Refusal
      ? failure
      : new Refusal("internal", "may-have-run", describeError(failure));
    this.#metrics.recordRefusal(refusal);
    if (response.headersSent) {
      this.#metrics.recordUnfinished(refusal);
    }
    this.#logger.info("request_refused", {
      request: id,
      path: metadata.target,
      ...describeModelUse(metadata),
      code: refusal.code,
      verdict: refusal.verdict,
      status: refusal.status,
      reason: refusal.message,
      version: this.#configuration.current?.version,
      configuration_age_ms: Math.round(this.#feeds.ageMs("configuration")),
      adopted_ms_ago: this.#configuration.adoptedMsAgo,
      total_ms: Math.round(this.#clock.now() - receivedAt),
      has_begun: response.headersSent,
    });
    if (refusal.code === "internal") {
      const stack = failure instanceof Error ? failure.stack : String(failure);
      this.#logger.error("request_failed", { request: id, error: stack });
    }
    arriving.body?.discard();
    if (!incoming.complete) {
      // What has arrived with the head is parsed after this task.
      await setImmediate();
    }
    if (!incoming.complete) {
      closeAfterLinger(response, UNREAD_LINGER_MS);
    }
    writeRefusal(response, refusal);
  }
}

/** The model of a request and its size, for the log. */
function describeModelUse(
  { model, promptTokens, outputTokens }: RequestMetadata,
) {
  return model === undefined ? {} : {
    model,
    prompt_tokens: promptTokens,
    output_tokens: outputTokens,
  };
}
