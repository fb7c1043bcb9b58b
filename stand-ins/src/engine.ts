/**
 * Stand-in of the model engine on one host.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { type Clock, TaskGroup } from "@zinniahill/kernel";
import { EngineOrder, EngineStatus, GenerateRequest } from "@zinniahill/schema";
import { request } from "undici";
import { z } from "zod";
import { EngineBatch, type EngineSpeed } from "./engine-batch.ts";
import { END_EVENT, formatEvent, hashMessages } from "./engine-text.ts";
import { type Answer, readJson, StandInServer } from "./server.ts";

/** What makes one engine differ from another. */
export interface EngineOptions extends EngineSpeed {
  readonly host: string;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFence: boolean;
  /** How long loading a model takes. */
  readonly loadMs: number;
}

/** One run of a request on this engine, for the proofs. */
export interface EngineRun {
  readonly request: string;
  readonly group: string;
  readonly offset: number;
  tokens: number;
  isComplete: boolean;
}

/** One order that the engine has carried out, for the proofs. */
export interface EngineOrderRun {
  readonly order: EngineOrder["order"];
  readonly group: string;
  readonly fence: number;
}

const MEMBER_INTERVAL_MS = 100;
/** A member that was not heard for this long stalls the group. */
const MEMBER_TIMEOUT_MS = 500;

/** The engine of one host; the lead of a group streams the tokens. */
export class EngineStandIn {
  readonly runs: EngineRun[] = [];
  readonly orders: EngineOrderRun[] = [];
  readonly batch: EngineBatch;
  #options: EngineOptions;
  #clock: Clock;
  #server = new StandInServer();
  #tasks: TaskGroup;
  #status: EngineStatus;
  #members: { host: string; address: string }[] = [];
  #heardAt = new Map<string, number>();

  constructor(clock: Clock, options: EngineOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#tasks = new TaskGroup(clock, SILENT_LOGGER);
    this.#status = createIdleStatus(options.host, 0);
    this.batch = new EngineBatch(clock, options);
    this.batch.isStalled = () => this.#isMemberMissing();
    this.#addRoutes();
  }

  /** The engine's report on itself. */
  get status(): EngineStatus {
    const now = this.#clock.now();
    const ages = [...this.#heardAt].map(([host, at]) => [host, now - at]);
    return {
      ...this.#status,
      running: this.batch.running,
      waiting: this.batch.waiting,
      reportedAtMs: now,
      members: Object.fromEntries(ages),
    };
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
    this.batch.clear();
    await this.#server.close();
  }

  #addRoutes(): void {
    this.#server.on("GET", "/status", () => ({
      status: 200,
      body: this.status,
    }));
    this.#server.on("POST", "/orders", async (request) => {
      const order = EngineOrder.parse(await readJson(request));
      return this.#carryOut(order);
    });
    this.#server.on("POST", "/generate", async (request, response) => {
      const body = GenerateRequest.parse(await readJson(request));
      return this.#generate(body, response);
    });
    this.#server.on("POST", "/cancel", async (request) => {
      const body = z.object({ request: z.string() }).parse(
        await readJson(request),
      );
      return {
        status: 200,
        body: { cancelled: this.batch.cancel(body.request) },
      };
    });
    this.#server.on("GET", "/cache-events", () => ({
      status: 200,
      body: { next: 0, events: [] },
    }));
    this.#server.on("GET", "/runs", () => ({
      status: 200,
      body: { runs: this.runs, orders: this.orders },
    }));
    this.#server.on("POST", "/faults", async (request) => {
      const { slowness } = z.object({ slowness: z.number() }).parse(
        await readJson(request),
      );
      this.batch.slowness = slowness;
      return { status: 200, body: {} };
    });
  }

  #carryOut(order: EngineOrder): Answer {
    const isStale = order.fence < this.#status.fence;
    if (isStale && this.#options.checksFence) {
      return refuse("stale-fence");
    }
    const answer = CARRY_OUT[order.order](this, order);
    if (answer.status === 200) {
      const { order: kind, group, fence } = order;
      this.orders.push({ order: kind, group, fence });
    }
    return answer;
  }

  /** Begins to load; refused while the host belongs to another group. */
  load(order: EngineOrder): Answer {
    const isOtherGroup = this.#status.group !== "" &&
      this.#status.group !== order.group;
    if (isOtherGroup) {
      return refuse("busy");
    }
    if (this.#status.group === order.group) {
      this.#status = { ...this.#status, fence: order.fence };
      return { status: 200, body: this.status };
    }
    this.#status = {
      ...createIdleStatus(this.#options.host, order.fence),
      group: order.group,
      role: "loading",
      model: order.model,
      version: order.version,
      rank: order.rank,
    };
    this.#members = order.rank === 0 ? order.hosts.slice(1) : [];
    this.#clock.schedule(this.#options.loadMs, () => {
      if (
        this.#status.group === order.group && this.#status.role === "loading"
      ) {
        this.#status = { ...this.#status, role: "serving" };
      }
    });
    return { status: 200, body: this.status };
  }

  /** Takes up the fencing number; the role changes when the load ends. */
  serve(order: EngineOrder): Answer {
    if (this.#status.group !== order.group) {
      return refuse("wrong-group");
    }
    const role = this.#status.role === "draining"
      ? "serving"
      : this.#status.role;
    this.#status = { ...this.#status, fence: order.fence, role };
    return { status: 200, body: this.status };
  }

  /** Takes no new requests. */
  drain(order: EngineOrder): Answer {
    if (this.#status.group !== order.group) {
      return refuse("wrong-group");
    }
    this.#status = { ...this.#status, role: "draining", fence: order.fence };
    return { status: 200, body: this.status };
  }

  /** Forgets the group; refused while requests run. */
  unload(order: EngineOrder): Answer {
    const isOtherGroup = this.#status.group !== "" &&
      this.#status.group !== order.group;
    if (isOtherGroup) {
      return refuse("wrong-group");
    }
    if (this.batch.running + this.batch.waiting > 0) {
      return refuse("busy");
    }
    this.#status = createIdleStatus(this.#options.host, order.fence);
    this.#members = [];
    this.#heardAt.clear();
    return { status: 200, body: this.status };
  }

  #generate(
    body: GenerateRequest,
    response: ServerResponse,
  ): Answer | undefined {
    const { group, role, rank } = this.#status;
    if (group !== body.group || rank !== 0 || role === "loading") {
      return refuse("wrong-group");
    }
    const isNewWork = body.offset === 0;
    if (role === "draining" && isNewWork) {
      return refuse("draining");
    }
    const run: EngineRun = {
      request: body.request,
      group,
      offset: body.offset,
      tokens: 0,
      isComplete: false,
    };
    this.runs.push(run);
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request": body.request,
    });
    response.flushHeaders();
    response.on("close", () => this.batch.cancel(body.request));
    const seed = hashMessages(body);
    this.batch.add({
      body,
      next: body.offset,
      onToken: (index, isLast) => {
        run.tokens++;
        run.isComplete = isLast;
        const event = formatEvent(body, seed, index, isLast);
        if (isLast) {
          response.end(event + END_EVENT);
        } else {
          response.write(event);
        }
      },
      onEnd: () => response.destroy(),
    });
    return undefined;
  }

  #isMemberMissing(): boolean {
    const now = this.#clock.now();
    return this.#members.some(({ host }) =>
      now - (this.#heardAt.get(host) ?? 0) > MEMBER_TIMEOUT_MS
    );
  }

  async #contactMembers(signal: AbortSignal): Promise<void> {
    await Promise.all(this.#members.map(async ({ host, address }) => {
      const limit = AbortSignal.any([
        signal,
        AbortSignal.timeout(MEMBER_TIMEOUT_MS),
      ]);
      try {
        const reply = await request(`http://${address}/status`, {
          signal: limit,
        });
        const status = EngineStatus.parse(await reply.body.json());
        const isMember = status.group === this.#status.group &&
          status.role !== "idle";
        if (isMember) {
          this.#heardAt.set(host, this.#clock.now());
        }
      } catch {
        // A member that does not answer is simply not heard.
      }
    }));
  }
}

const CARRY_OUT: {
  readonly [Kind in EngineOrder["order"]]: (
    engine: EngineStandIn,
    order: EngineOrder,
  ) => Answer;
} = {
  load: (engine, order) => engine.load(order),
  serve: (engine, order) => engine.serve(order),
  drain: (engine, order) => engine.drain(order),
  unload: (engine, order) => engine.unload(order),
};

const SILENT_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

function refuse(
  error: "stale-fence" | "busy" | "wrong-group" | "draining",
): Answer {
  return { status: 409, body: { error } };
}

function createIdleStatus(host: string, fence: number): EngineStatus {
  return {
    host,
    group: "",
    role: "idle",
    model: "",
    version: "",
    fence,
    rank: 0,
    running: 0,
    waiting: 0,
    reportedAtMs: 0,
    members: {},
  };
}
