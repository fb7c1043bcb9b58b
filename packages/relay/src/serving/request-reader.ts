/**
 * Reads callers' requests and resolves their route, account and service.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, describeError, type Random } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import type { Feeds } from "../feeds/feeds.ts";
import type { Account, Route } from "../model/configuration.ts";
import type { RequestMetadata } from "../adapter.ts";
import type { Demand } from "../placement/demand.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RouteTable } from "../routing/route-table.ts";
import type { RelayKernel } from "../services.ts";
import type { AnswerMemory, MemoryAccount } from "./answer-memory.ts";
import { watchDisconnect } from "./caller-disconnect.ts";
import { countHeaderBytes } from "./headers.ts";
import type { RelayedRequest } from "./relayed-request.ts";

const CONFIGURATION_RETRY_AFTER_MS = 200;

/** Reads requests under the configuration in force. */
export class RequestReader {
  #clock: Clock;
  #random: Random;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #demand: Demand;
  #memory: AnswerMemory;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#demand = kernel.find("demand");
    this.#memory = kernel.find("answerMemory");
  }

  /** Reads a request completely; throws a `Refusal` if it cannot be served. */
  async read(
    id: string,
    metadata: RequestMetadata,
    receivedAt: number,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<RelayedRequest> {
    const table = this.#findTable();
    const { limits } = table.configuration;
    if (countHeaderBytes(incoming.rawHeaders) > limits.maxHeaderBytes) {
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
    const body = await this.#readBody(
      incoming,
      limits.maxBodyBytes,
      deadlineAt,
    );
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
      memory: this.#openMemory(id, response),
      sentTo: new Set(),
      mayHaveRun: false,
      hasReservedRetry: false,
    };
  }

  /** Opens the account of an answer, until its last byte has been sent. */
  #openMemory(id: string, response: ServerResponse): MemoryAccount {
    const account = this.#memory.open(id);
    if (response.closed) {
      account.close();
    }
    response.once("close", () => account.close());
    return account;
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

  /** Reads a body up to a size limit, until the deadline at the latest. */
  async #readBody(
    incoming: IncomingMessage,
    limitBytes: number,
    deadlineAt: number,
  ): Promise<Buffer> {
    const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
    if (declaredBytes > limitBytes) {
      throw createTooLargeRefusal(limitBytes);
    }
    const isBodyless = declaredBytes === 0 &&
      incoming.headers["transfer-encoding"] === undefined;
    if (isBodyless) {
      return Buffer.alloc(0);
    }
    let hasTimedOut = false;
    const cancel = this.#clock.schedule(deadlineAt - this.#clock.now(), () => {
      hasTimedOut = true;
      incoming.destroy();
    });
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of incoming.iterator({ destroyOnReturn: false })) {
        size += (chunk as Buffer).length;
        if (size > limitBytes) {
          throw createTooLargeRefusal(limitBytes);
        }
        chunks.push(chunk as Buffer);
      }
    } catch (failure) {
      throw failure instanceof Refusal
        ? failure
        : new Refusal("unread-request", "not-run", describeError(failure));
    } finally {
      cancel();
    }
    if (hasTimedOut) {
      throw new Refusal(
        "unread-request",
        "not-run",
        "the body did not arrive before the deadline",
      );
    }
    return Buffer.concat(chunks);
  }
}

function createTooLargeRefusal(limitBytes: number): Refusal {
  const message = `the body is larger than ${limitBytes} bytes`;
  return new Refusal("too-large", "not-run", message);
}
