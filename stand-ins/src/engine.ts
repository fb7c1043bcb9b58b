/**
 * Stand-in of the model engine on one host, over HTTP.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { type Clock, TaskGroup } from "@zinniahill/kernel";
import { EngineOrder, EngineStatus, GenerateRequest } from "@zinniahill/schema";
import { request } from "undici";
import * as z from "zod";
import {
  EngineModel,
  type EngineOptions,
  MEMBER_TIMEOUT_MS,
  type RefusalReason,
} from "./engine-model.ts";
import { type Answer, readJson, StandInServer } from "./server.ts";

const MEMBER_INTERVAL_MS = 100;
const CancelBody = z.object({ request: z.string() });
const FaultsBody = z.object({ slowness: z.number() });

const SILENT_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

/** Serves an engine model over HTTP. */
export class EngineStandIn {
  readonly model: EngineModel;
  #server = new StandInServer();
  #tasks: TaskGroup;

  constructor(clock: Clock, options: EngineOptions) {
    this.model = new EngineModel(clock, options);
    this.#tasks = new TaskGroup(clock, SILENT_LOGGER);
    this.#addRoutes();
  }

  /** Listens on a loopback address. */
  async listen(port?: number): Promise<string> {
    const address = await this.#server.listen(port);
    this.#tasks.repeat(
      "members",
      MEMBER_INTERVAL_MS,
      (signal) => this.#contactMembers(signal),
    );
    return address;
  }

  /** Stops as a host that fails: connections end, nothing is announced. */
  async close(): Promise<void> {
    await this.#tasks.stop();
    this.model.batch.clear();
    await this.#server.close();
  }

  #addRoutes(): void {
    this.#server.on("GET", "/status", () => accept(this.model.status));
    this.#server.on("POST", "/orders", async (request) => {
      const order = EngineOrder.parse(await readJson(request));
      const reason = this.model.carryOut(order);
      return reason === undefined ? accept(this.model.status) : refuse(reason);
    });
    this.#server.on("POST", "/generate", async (request, response) => {
      const body = GenerateRequest.parse(await readJson(request));
      return this.#generate(body, response);
    });
    this.#server.on("POST", "/cancel", async (request) => {
      const body = CancelBody.parse(await readJson(request));
      return accept({ cancelled: this.model.cancel(body.request) });
    });
    this.#server.on(
      "GET",
      "/cache-events",
      () => accept({ next: 0, events: [] }),
    );
    this.#server.on("GET", "/runs", () => {
      const { runs, orders } = this.model;
      return accept({ runs, orders });
    });
    this.#server.on("POST", "/faults", async (request) => {
      const { slowness } = FaultsBody.parse(await readJson(request));
      this.model.batch.slowness = slowness;
      return accept({});
    });
  }

  #generate(
    body: GenerateRequest,
    response: ServerResponse,
  ): Answer | undefined {
    const reason = this.model.generate(body, {
      write: (event) => response.write(event),
      end: () => response.end(),
      drop: () => response.destroy(),
    });
    if (reason !== undefined) {
      return refuse(reason);
    }
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request": body.request,
    });
    response.flushHeaders();
    response.on("close", () => this.model.cancel(body.request));
    return undefined;
  }

  async #contactMembers(signal: AbortSignal): Promise<void> {
    await Promise.all(this.model.members.map(async ({ host, address }) => {
      const limit = AbortSignal.any([
        signal,
        AbortSignal.timeout(MEMBER_TIMEOUT_MS),
      ]);
      try {
        const reply = await request(`http://${address}/status`, {
          signal: limit,
        });
        const status = EngineStatus.parse(await reply.body.json());
        this.model.noteMember(host, status);
      } catch {
        // A member that does not answer is simply not heard.
      }
    }));
  }
}

function accept(body: unknown): Answer {
  return { status: 200, body };
}

function refuse(error: RefusalReason): Answer {
  return { status: 409, body: { error } };
}
