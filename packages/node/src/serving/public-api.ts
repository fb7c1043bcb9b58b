/**
 * The public HTTP interface; one task for each request.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Logger, Random, Service } from "@zinniahill/kernel";
import { Refusal, type Settings } from "@zinniahill/schema";
import type { Lifecycle } from "../lifecycle.ts";
import type { Metrics } from "../metrics.ts";
import type { NodeKernel } from "../services.ts";
import { Authentication, type Caller } from "./authentication.ts";
import { Chat } from "./chat.ts";
import {
  createRefusal,
  HttpListener,
  REQUEST_ID_HEADER,
  type RoutedRequest,
  sendJson,
} from "./http.ts";
import type { Lookup } from "./lookup.ts";
import { ServiceCalls } from "./service-calls.ts";

/** The task of a request whose client account is known. */
type CallerTask = (
  id: string,
  caller: Caller,
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void> | void;

const OK_STATUS = 200;

/** Serves callers. */
export class PublicApi implements Service {
  #random: Random;
  #logger: Logger;
  #metrics: Metrics;
  #settings: Settings;
  #lifecycle: Lifecycle;
  #authentication: Authentication;
  #lookup: Lookup;
  #chat: Chat;
  #serviceCalls: ServiceCalls;
  #listener: HttpListener;

  constructor(kernel: NodeKernel) {
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#metrics = kernel.find("metrics");
    this.#settings = kernel.find("settings");
    this.#lifecycle = kernel.find("lifecycle");
    this.#authentication = new Authentication(kernel.find("state"));
    this.#lookup = kernel.find("lookup");
    this.#chat = new Chat(kernel);
    this.#serviceCalls = new ServiceCalls(kernel);
    const { callers, headBytes } = kernel.find("connectionLimits");
    const appliedLimits = kernel.find("appliedLimits");
    this.#listener = new HttpListener({
      onRequest: (_request, response) => {
        response.setHeader(REQUEST_ID_HEADER, this.#random.id());
      },
      intake: kernel.find("requestIntake"),
      limit: {
        maxConnections: callers,
        maxHeadBytes: headBytes,
        onClose: (address, open) =>
          appliedLimits.record("connections", { address, open }),
      },
    });
  }

  async start(): Promise<void> {
    const listener = this.#listener;
    listener.on("GET", "/v1/lookup", async (request, response) => {
      const { data_centre: dataCentre } = request.query;
      const wanted = dataCentre === undefined ? undefined : String(dataCentre);
      await Promise.resolve(
        sendJson(response, OK_STATUS, this.#lookup.find(wanted)),
      );
    });
    this.#on("GET", "/v1/models", (_id, caller, _request, response) => {
      listModels(caller, response);
    });
    this.#on(
      "POST",
      "/v1/chat/completions",
      (...task) => this.#chat.complete(...task),
    );
    this.#on(
      "ANY",
      "/v1/services/:service/*",
      (...task) => this.#serviceCalls.call(...task),
    );
    await listener.listen(this.#settings.node["public-address"]);
  }

  stop(): Promise<void> {
    return this.#listener.close();
  }

  /** Requests whose reply is not sent. */
  get inFlight(): number {
    return this.#listener.inFlight;
  }

  dump(): unknown {
    return { inFlight: this.inFlight };
  }

  /** Adds a route for callers; a refusal is logged with the request's id. */
  #on(method: "GET" | "POST" | "ANY", path: string, task: CallerTask): void {
    this.#listener.on(method, path, async (request, response) => {
      const id = String(response.getHeader(REQUEST_ID_HEADER));
      let caller: Caller | undefined;
      try {
        this.#refuseWhenClosing(response);
        caller = this.#authentication.authenticate(request);
        await task(id, caller, request, response);
      } catch (failure) {
        this.#logRefusal(id, caller, failure);
        throw failure;
      }
    });
  }

  /** Callers no longer know this node, but a connection may be kept open. */
  #refuseWhenClosing(response: ServerResponse): void {
    if (this.#lifecycle.isClosing) {
      response.setHeader("connection", "close");
      throw new Refusal("stopping", "not-run", "the node stops", 0);
    }
  }

  #logRefusal(id: string, caller: Caller | undefined, failure: unknown): void {
    const { code, verdict } = createRefusal(failure);
    const fields = { request: id, account: caller?.account.name };
    this.#logger.info("request_refused", { ...fields, code, verdict });
    this.#metrics.count("refusals", 1, { code, verdict });
    if (code === "internal") {
      const error = failure instanceof Error ? failure.stack : String(failure);
      this.#logger.error("request_failed", { ...fields, error });
    }
  }
}

function listModels({ rules }: Caller, response: ServerResponse): void {
  const data = [...rules.models.keys()].map((id) => ({
    id,
    object: "model",
    created: 0,
    owned_by: "zinniahill",
  }));
  sendJson(response, OK_STATUS, { object: "list", data });
}
