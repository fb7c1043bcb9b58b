/**
 * Reads callers' requests and finds what they are about.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, describeError, type Random } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import type { Feeds } from "../feeds/feeds.ts";
import type { Account, Route } from "../model/configuration.ts";
import type { RequestFacts } from "../outside.ts";
import type { Demand } from "../placement/demand.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RouteTable } from "../routing/route-table.ts";
import type { RelayKernel } from "../services.ts";
import { watchCaller } from "./caller-watch.ts";
import { countHeaderBytes } from "./headers.ts";
import type { RelayedRequest } from "./relayed-request.ts";

const NO_CONFIGURATION_RETRY_MS = 200;

/** Reads requests under the configuration in force. */
export class RequestReader {
  #clock: Clock;
  #random: Random;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #demand: Demand;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#demand = kernel.find("demand");
  }

  /** Reads a request and finds what it is about. */
  async read(
    id: string,
    facts: RequestFacts,
    receivedAt: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<RelayedRequest> {
    const table = this.#findTable();
    const { limits } = table.configuration;
    if (countHeaderBytes(request.rawHeaders) > limits.headerBytes) {
      throw new Refusal("head-too-large", "not-run", "the head is too large");
    }
    const route = this.#findRoute(table, facts);
    const account = this.#findAccount(table, route, facts);
    const service = table.drawService(route, this.#random);
    if (service === undefined) {
      throw new Refusal("no-upstream", "not-run", "the service is not known");
    }
    this.#noteDemand(service, facts);
    const deadlineAt = receivedAt +
      Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const body = await this.#readBody(request, limits.bodyBytes, deadlineAt);
    return {
      id,
      request,
      response,
      facts,
      body,
      route,
      service,
      account,
      rank: account?.rank ?? route.rank,
      receivedAt,
      deadlineAt,
      gone: watchCaller(response),
      sentTo: new Set(),
      mayHaveRun: false,
    };
  }

  #findTable(): RouteTable {
    const { table } = this.#configuration;
    if (table === undefined) {
      throw new Refusal(
        "no-configuration",
        "not-run",
        "no configuration was read yet",
        NO_CONFIGURATION_RETRY_MS,
      );
    }
    return table;
  }

  #findRoute(table: RouteTable, { host, target }: RequestFacts): Route {
    const path = target.split("?", 1)[0]!;
    const route = table.findRoute(host, path);
    if (route === undefined) {
      throw this.#refuseUnknown("not-found", "there is no such route");
    }
    return route;
  }

  #findAccount(
    table: RouteTable,
    route: Route,
    { key }: RequestFacts,
  ): Account | undefined {
    const account = key === undefined ? undefined : table.findAccount(key);
    const isNeeded = table.configuration.accounts !== undefined &&
      !route.isAnonymous;
    if (isNeeded && account === undefined) {
      throw this.#refuseUnknown("unauthorized", "the key is not known");
    }
    return account;
  }

  /** What an old configuration does not know may be in a newer one. */
  #refuseUnknown(code: "not-found" | "unauthorized", message: string): Refusal {
    return this.#feeds.isStale("configuration")
      ? new Refusal(
        "stale-configuration",
        "not-run",
        `${message} in a configuration that may be out of date`,
        NO_CONFIGURATION_RETRY_MS,
      )
      : new Refusal(code, "not-run", message);
  }

  #noteDemand(
    { engine }: RelayedRequest["service"],
    { model: name, promptTokens, outputTokens, outputHint }: RequestFacts,
  ): void {
    const model = engine?.models.find((model) => model.name === name);
    if (engine !== undefined && model !== undefined) {
      const tokens = outputHint ?? outputTokens;
      this.#demand.recordRequest(engine, model, promptTokens, tokens);
    }
  }

  /** Reads a body up to a limit, and no longer than the deadline. */
  async #readBody(
    request: IncomingMessage,
    limitBytes: number,
    deadlineAt: number,
  ): Promise<Buffer> {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > limitBytes) {
      throw refuseBody(limitBytes);
    }
    const isBodyless = announced === 0 &&
      request.headers["transfer-encoding"] === undefined;
    if (isBodyless) {
      return Buffer.alloc(0);
    }
    let isLate = false;
    const cancel = this.#clock.schedule(deadlineAt - this.#clock.now(), () => {
      isLate = true;
      request.destroy();
    });
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of request.iterator({ destroyOnReturn: false })) {
        size += (chunk as Buffer).length;
        if (size > limitBytes) {
          throw refuseBody(limitBytes);
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
    if (isLate) {
      throw new Refusal("unread-request", "not-run", "the body came too late");
    }
    return Buffer.concat(chunks);
  }
}

function refuseBody(limitBytes: number): Refusal {
  const message = `the body is larger than ${limitBytes} bytes`;
  return new Refusal("too-large", "not-run", message);
}
