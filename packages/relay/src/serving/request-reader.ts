/**
 * Reads callers' requests and resolves their route, account and service.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Random } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import type { Feeds } from "../feeds/feeds.ts";
import type { Account, Route } from "../model/configuration.ts";
import type { RequestMetadata } from "../adapter.ts";
import type { Demand } from "../placement/demand.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RouteTable } from "../routing/route-table.ts";
import type { RelayKernel } from "../services.ts";
import { watchDisconnect } from "./caller-disconnect.ts";
import {
  type CallerMemory,
  type ChunkTurns,
  createTooLargeRefusal,
  isBodyless,
  type MemoryAccount,
  RequestBody,
} from "@zinniahill/clients";
import { countHeaderBytes } from "./headers.ts";
import type { RelayedRequest } from "./relayed-request.ts";

const CONFIGURATION_RETRY_AFTER_MS = 200;
/** A head is held as one list and as fields by name. */
const HEAD_COPIES = 2;
/** Memory that a request takes beside its bytes. */
const REQUEST_OVERHEAD_BYTES = 4096;

/** A request whose head has arrived. */
export interface ArrivingRequest {
  readonly id: string;
  readonly metadata: RequestMetadata;
  readonly receivedAt: number;
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly memory: MemoryAccount;
  readonly headerBytes: number;
  /** Undefined if the request has no body. */
  readonly body: RequestBody | undefined;
}

/** Reads requests under the configuration in force. */
export class RequestReader {
  #clock: Clock;
  #random: Random;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #demand: Demand;
  #memory: CallerMemory;
  #turns: ChunkTurns;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#demand = kernel.find("demand");
    this.#memory = kernel.find("callerMemory");
    this.#turns = kernel.find("chunkTurns");
  }

  /**
   * Opens the account of a request, until the last byte of its answer has been
   * sent, and begins to collect its body.
   */
  receive(
    id: string,
    metadata: RequestMetadata,
    receivedAt: number,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): ArrivingRequest {
    const { socket } = incoming;
    const memory = this.#memory.open(id, socket.remoteAddress);
    if (response.closed) {
      memory.close();
    }
    response.once("close", () => memory.close());
    const headerBytes = countHeaderBytes(incoming.rawHeaders);
    memory.add(REQUEST_OVERHEAD_BYTES + HEAD_COPIES * headerBytes);
    const body = isBodyless(incoming) ? undefined : new RequestBody(
      incoming,
      this.#clock,
      memory,
      this.#turns.follow(socket),
    );
    return {
      id,
      metadata,
      receivedAt,
      incoming,
      response,
      memory,
      headerBytes,
      body,
    };
  }

  /** Reads a request completely; throws a `Refusal` if it cannot be served. */
  async read(arriving: ArrivingRequest): Promise<RelayedRequest> {
    const { id, metadata, receivedAt, incoming, response, memory } = arriving;
    const table = this.#findTable();
    const { limits } = table.configuration;
    if (arriving.headerBytes > limits.maxHeaderBytes) {
      throw new Refusal(
        "head-too-large",
        "not-run",
        "the request head is too large",
      );
    }
    const route = this.#findRoute(table, metadata);
    const account = this.#findAccount(table, route, metadata);
    const service = table.pickService(route, this.#random);
    if (service === undefined) {
      throw new Refusal(
        "no-upstream",
        "not-run",
        "the service is not configured",
      );
    }
    this.#recordDemand(service, metadata);
    const deadlineAt = receivedAt +
      Math.min(metadata.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    if (this.#clock.now() >= deadlineAt) {
      throw new Refusal(
        "overloaded",
        "not-run",
        "the deadline passed before earlier requests were answered",
      );
    }
    const { maxBodyBytes } = limits;
    if (Number(incoming.headers["content-length"] ?? 0) > maxBodyBytes) {
      throw createTooLargeRefusal(maxBodyBytes);
    }
    const body = await arriving.body?.read(maxBodyBytes, deadlineAt) ??
      Buffer.alloc(0);
    return {
      id,
      incoming,
      response,
      metadata,
      body,
      route,
      service,
      account,
      rank: account?.rank ?? route.rank,
      receivedAt,
      deadlineAt,
      callerSignal: watchDisconnect(response),
      memory,
      sentTo: new Set(),
      mayHaveRun: false,
      lastEventId: route.repetition === "resume"
        ? metadata.lastEventId
        : undefined,
      canResume: true,
      replacement: undefined,
    };
  }

  #findTable(): RouteTable {
    const { routeTable } = this.#configuration;
    if (routeTable === undefined) {
      throw new Refusal(
        "no-configuration",
        "not-run",
        "no configuration has been read yet",
        CONFIGURATION_RETRY_AFTER_MS,
      );
    }
    return routeTable;
  }

  #findRoute(table: RouteTable, { host, target }: RequestMetadata): Route {
    const path = target.split("?", 1)[0]!;
    const route = table.findRoute(host, path);
    if (route === undefined) {
      throw this.#createUnknownRefusal(
        "not-found",
        "no route matches the host and path",
      );
    }
    return route;
  }

  #findAccount(
    table: RouteTable,
    route: Route,
    { apiKey }: RequestMetadata,
  ): Account | undefined {
    const account = apiKey === undefined
      ? undefined
      : table.findAccount(apiKey);
    const isKeyRequired = table.configuration.accounts !== undefined &&
      !route.isAnonymous;
    if (isKeyRequired && account === undefined) {
      throw this.#createUnknownRefusal(
        "unauthorized",
        "the API key is missing or unknown",
      );
    }
    return account;
  }

  /** A route or key that a stale configuration lacks may be in a newer one. */
  #createUnknownRefusal(
    code: "not-found" | "unauthorized",
    message: string,
  ): Refusal {
    return this.#feeds.isStale("configuration")
      ? new Refusal(
        "stale-configuration",
        "not-run",
        `${message} in a configuration that may be out of date`,
        CONFIGURATION_RETRY_AFTER_MS,
      )
      : new Refusal(code, "not-run", message);
  }

  #recordDemand(
    { engine }: RelayedRequest["service"],
    { model: name, promptTokens, outputTokens, outputTokensHint }:
      RequestMetadata,
  ): void {
    const model = engine?.models.find((model) => model.name === name);
    if (engine !== undefined && model !== undefined) {
      const tokens = outputTokensHint ?? outputTokens;
      this.#demand.recordRequest(engine, model, promptTokens, tokens);
    }
  }
}
