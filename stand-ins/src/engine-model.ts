/**
 * The engine of one host, apart from how it is reached.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type {
  EngineOrder,
  EngineRefusal,
  EngineStatus,
  GenerateRequest,
} from "@zinniahill/schema";
import { EngineBatch, type EngineSpeed } from "./engine-batch.ts";
import { END_EVENT, formatEvent, hashMessages } from "./engine-text.ts";

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
  readonly startedAt: number;
  tokens: number;
  isComplete: boolean;
}

/** One order that the engine has carried out, for the proofs. */
export interface EngineOrderRun {
  readonly order: EngineOrder["order"];
  readonly group: string;
  readonly fence: number;
  readonly at: number;
}

/** One order that reached the engine, carried out or not, for the proofs. */
export interface ReceivedOrder extends EngineOrderRun {
  readonly hosts: readonly string[];
  /** Group and role of the host when the order came. */
  readonly groupBefore: string;
  readonly roleBefore: EngineStatus["role"];
  readonly refusal: RefusalReason;
}

/** Receives the events of one stream. */
export interface EventSink {
  write(event: string): void;
  /** Called after the last event. */
  end(): void;
  /** Called when the engine drops the stream. */
  drop(): void;
}

/** Another host of the group. */
export interface EngineMember {
  readonly host: string;
  readonly address: string;
}

/** The reason of a refusal; undefined when there is none. */
export type RefusalReason = EngineRefusal["error"] | undefined;

/** A member that was not heard for this long stalls the group. */
export const MEMBER_TIMEOUT_MS = 500;

/** Carries out orders and, as the lead of a group, streams tokens. */
export class EngineModel {
  readonly runs: EngineRun[] = [];
  readonly orders: EngineOrderRun[] = [];
  readonly receivedOrders: ReceivedOrder[] = [];
  /** When the host lost its memory. */
  readonly resets: number[] = [];
  readonly batch: EngineBatch;
  readonly options: EngineOptions;
  #clock: Clock;
  #status: EngineStatus;
  #members: readonly EngineMember[] = [];
  #heardAt = new Map<string, number>();

  constructor(clock: Clock, options: EngineOptions) {
    this.#clock = clock;
    this.options = options;
    this.#status = createIdleStatus(options.host, 0);
    this.batch = new EngineBatch(clock, options);
    this.batch.isStalled = () => this.#isMemberMissing();
  }

  /** The other hosts of the group; empty unless this host is the lead. */
  get members(): readonly EngineMember[] {
    return this.#members;
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

  /** Notes the status of another host of the group. */
  noteMember(host: string, status: EngineStatus): void {
    const isMember = status.group === this.#status.group &&
      (status.role === "serving" || status.role === "draining");
    if (isMember) {
      this.#heardAt.set(host, this.#clock.now());
    }
  }

  /** Orders that the engine has refused. */
  get refusedOrders(): readonly ReceivedOrder[] {
    return this.receivedOrders.filter(({ refusal }) => refusal !== undefined);
  }

  /** Carries out an order, or returns why not. */
  carryOut(order: EngineOrder): RefusalReason {
    const { order: kind, group, fence } = order;
    const { group: groupBefore, role: roleBefore } = this.#status;
    const refusal = this.#tryOrder(order);
    const run = { order: kind, group, fence, at: this.#clock.now() };
    const hosts = order.hosts.map(({ host }) => host);
    this.receivedOrders.push({
      ...run,
      hosts,
      groupBefore,
      roleBefore,
      refusal,
    });
    if (refusal === undefined) {
      this.orders.push(run);
    }
    return refusal;
  }

  #tryOrder(order: EngineOrder): RefusalReason {
    const isStale = order.fence < this.#status.fence;
    if (isStale && this.options.checksFence) {
      return "stale-fence";
    }
    return this.#handlers[order.order](order);
  }

  /** Begins a stream, or returns why not. */
  generate(body: GenerateRequest, sink: EventSink): RefusalReason {
    const { group, role, rank } = this.#status;
    if (group !== body.group || rank !== 0 || role === "loading") {
      return "wrong-group";
    }
    const isNewWork = body.offset === 0;
    if (role === "draining" && isNewWork) {
      return "draining";
    }
    const run: EngineRun = {
      request: body.request,
      group,
      offset: body.offset,
      startedAt: this.#clock.now(),
      tokens: 0,
      isComplete: false,
    };
    this.runs.push(run);
    const seed = hashMessages(body);
    this.batch.add({
      body,
      next: body.offset,
      onToken: (index, isLast) => {
        run.tokens++;
        run.isComplete = isLast;
        sink.write(formatEvent(body, seed, index, isLast));
        if (isLast) {
          sink.write(END_EVENT);
          sink.end();
        }
      },
      onEnd: () => sink.drop(),
    });
    return undefined;
  }

  /** Cancels a request; returns whether it was there. */
  cancel(request: string): boolean {
    return this.batch.cancel(request);
  }

  /** Forgets everything, as a host that restarts. */
  reset(): void {
    this.resets.push(this.#clock.now());
    this.batch.clear();
    this.#status = createIdleStatus(this.options.host, 0);
    this.#members = [];
    this.#heardAt.clear();
  }

  readonly #handlers: {
    readonly [Kind in EngineOrder["order"]]: (
      order: EngineOrder,
    ) => RefusalReason;
  } = {
    load: (order) => this.#load(order),
    serve: (order) => this.#serve(order),
    drain: (order) => this.#drain(order),
    unload: (order) => this.#unload(order),
  };

  #load(order: EngineOrder): RefusalReason {
    const { group } = this.#status;
    if (group === order.group) {
      this.#status = { ...this.#status, fence: order.fence };
      return undefined;
    }
    if (group !== "") {
      return "busy";
    }
    this.#status = {
      ...createIdleStatus(this.options.host, order.fence),
      group: order.group,
      role: "loading",
      model: order.model,
      version: order.version,
      rank: order.rank,
    };
    this.#members = order.rank === 0 ? order.hosts.slice(1) : [];
    this.#clock.schedule(this.options.loadMs, () => this.#onLoaded(order));
    return undefined;
  }

  #onLoaded(order: EngineOrder): void {
    const { group, role } = this.#status;
    if (group === order.group && role === "loading") {
      this.#status = { ...this.#status, role: "serving" };
    }
  }

  #serve(order: EngineOrder): RefusalReason {
    if (this.#status.group !== order.group) {
      return "wrong-group";
    }
    const { role } = this.#status;
    this.#status = {
      ...this.#status,
      fence: order.fence,
      role: role === "draining" ? "serving" : role,
    };
    return undefined;
  }

  #drain(order: EngineOrder): RefusalReason {
    if (this.#status.group !== order.group) {
      return "wrong-group";
    }
    this.#status = { ...this.#status, role: "draining", fence: order.fence };
    return undefined;
  }

  #unload(order: EngineOrder): RefusalReason {
    const { group } = this.#status;
    if (group !== "" && group !== order.group) {
      return "wrong-group";
    }
    if (this.batch.running + this.batch.waiting > 0) {
      return "busy";
    }
    this.#status = createIdleStatus(this.options.host, order.fence);
    this.#members = [];
    this.#heardAt.clear();
    return undefined;
  }

  #isMemberMissing(): boolean {
    const now = this.#clock.now();
    return this.#members.some(({ host }) => {
      const heardAt = this.#heardAt.get(host);
      return heardAt === undefined || now - heardAt > MEMBER_TIMEOUT_MS;
    });
  }
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
