/**
 * The platform and the upstreams in memory, as one node reaches them.
 *
 * @module
 */
import { type Clock, TaskGroup } from "@zinniahill/kernel";
import type {
  Engines,
  EngineStream,
  Fault,
  HostList,
  Log,
  PlainServices,
  WeightStore,
} from "@zinniahill/clients";
import type { EngineOrder, GenerateRequest, Host } from "@zinniahill/schema";
import { Result } from "true-myth";
import { EngineModel, type EngineOptions } from "../engine-model.ts";
import { LogModel } from "../log-model.ts";
import { MemoryNetwork } from "./network.ts";
import { RecordModel } from "./record-model.ts";
import { MemoryStream, type StreamFaults } from "./stream.ts";

const CALL_TIMEOUT_MS = 2000;
const MEMBER_INTERVAL_MS = 100;
/** Names of the platform's ends in the network. */
export const LOG_END = "log";
/** Name of the host list's end in the network. */
export const HOST_LIST_END = "host-list";
/** Name of the weight store's end in the network. */
export const WEIGHT_STORE_END = "weight-store";

const DOWN: Fault = { verdict: "may-have-run", message: "the log is down" };
const SILENT_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

/** Clients of the platform as one node holds them. */
export interface MemoryClients {
  readonly log: Log;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
  readonly engines: Engines;
  readonly plainServices: PlainServices;
}

/** A call of a node that has arrived at an upstream. */
export type PlatformEvent =
  | {
    readonly kind: "order";
    readonly node: string;
    readonly host: string;
    readonly order: EngineOrder;
  }
  | {
    readonly kind: "token";
    readonly node: string;
    readonly host: string;
    readonly index: number;
  }
  | { readonly kind: "call"; readonly node: string; readonly key: string };

/** Everything outside the nodes; upstreams are ends named by their address. */
export class MemoryPlatform {
  readonly network: MemoryNetwork;
  readonly log: LogModel;
  readonly hosts = new Map<string, Host>();
  readonly engines = new Map<string, EngineModel>();
  readonly records = new Map<string, RecordModel>();
  /** Faults of every stream, open or new. */
  readonly streamFaults: StreamFaults = { delayMs: 0, repeats: false };
  /** The list that nodes get instead of the hosts, while it is late. */
  staleHostList: readonly Host[] | undefined;
  /** Called when a node's call arrives. */
  onEvent: (event: PlatformEvent) => void = () => {};
  #streams = new Set<MemoryStream>();
  #clock: Clock;
  #tasks: TaskGroup;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.network = new MemoryNetwork(clock);
    this.log = new LogModel(clock);
    this.#tasks = new TaskGroup(clock, SILENT_LOGGER);
  }

  /** Adds a host with its engine. */
  addHost(
    host: Host,
    options: Omit<EngineOptions, "host">,
    clock: Clock = this.#clock,
  ): EngineModel {
    const engine = new EngineModel(clock, {
      ...options,
      host: host.host,
    });
    this.hosts.set(host.host, host);
    this.engines.set(host.address, engine);
    this.#tasks.repeat("members", MEMBER_INTERVAL_MS, async (signal) => {
      await this.#contactMembers(host.address, engine, signal);
    });
    return engine;
  }

  /** Adds a record service at an address. */
  addRecordService(address: string): RecordModel {
    const service = new RecordModel(this.#clock);
    this.records.set(address, service);
    return service;
  }

  /** Open streams lose what one end sends; new streams work. */
  silenceOpenStreams(sender: "engine" | "node"): void {
    for (const stream of this.#streams) {
      stream.silence(sender);
    }
  }

  /** Ends the platform's own tasks. */
  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Creates the clients of one node; its end is the node's name. */
  createClients(node: string): MemoryClients {
    return {
      log: this.#createLog(node),
      hostList: {
        list: (signal) =>
          this.network.call(
            node,
            HOST_LIST_END,
            CALL_TIMEOUT_MS,
            () => Result.ok([...this.staleHostList ?? this.hosts.values()]),
            signal,
          ),
      },
      weightStore: {
        requestGrant: (_request, signal) =>
          this.network.call(
            node,
            WEIGHT_STORE_END,
            CALL_TIMEOUT_MS,
            () => Result.ok({ granted: true, retryAfterMs: 0 }),
            signal,
          ),
      },
      engines: this.#createEngines(node),
      plainServices: {
        call: (address, call, timeoutMs, signal) =>
          this.network.call(node, address, timeoutMs, () => {
            const service = this.records.get(address);
            const key = call.headers["idempotency-key"] ?? "";
            this.onEvent({ kind: "call", node, key });
            return service === undefined
              ? Result.err(createRefusedFault())
              : service.handle(call, node);
          }, signal),
      },
    };
  }

  #createLog(node: string): Log {
    return {
      append: (stream, records, signal) =>
        this.network.call(node, LOG_END, CALL_TIMEOUT_MS, async () => {
          const result = await this.log.handleAppend(stream, [...records]);
          return result.state === "appended"
            ? Result.ok(result.offset)
            : Result.err(DOWN);
        }, signal),
      read: (stream, options, signal) =>
        this.network.call(
          node,
          LOG_END,
          CALL_TIMEOUT_MS + options.waitMs,
          async () => {
            const page = await this.log.handleRead(stream, options);
            return page === undefined ? Result.err(DOWN) : Result.ok(page);
          },
          signal,
        ),
    };
  }

  #createEngines(node: string): Engines {
    return {
      probe: (address, timeoutMs, signal) =>
        this.network.call(node, address, timeoutMs, () => {
          const engine = this.engines.get(address);
          return engine === undefined
            ? Result.err(createRefusedFault())
            : Result.ok(engine.status);
        }, signal),
      sendOrder: (address, order, timeoutMs, signal) =>
        this.network.call(node, address, timeoutMs, () => {
          const engine = this.engines.get(address);
          const reason = engine?.carryOut(order);
          const host = engine?.options.host ?? "";
          this.onEvent({ kind: "order", node, host, order });
          return engine === undefined || reason !== undefined
            ? Result.err({ ...createRefusedFault(), reason: reason ?? "gone" })
            : Result.ok(engine.status);
        }, signal),
      generate: (address, body, { timeoutMs, signal }) =>
        this.network.call(
          node,
          address,
          timeoutMs,
          () => this.#generate(node, address, body),
          signal,
        ),
      cancel: (address, requestId) =>
        this.network.call(node, address, CALL_TIMEOUT_MS, () => {
          this.engines.get(address)?.cancel(requestId);
          return Result.ok(undefined);
        }),
      readCacheEvents: (address, _from, signal) =>
        this.network.call(
          node,
          address,
          CALL_TIMEOUT_MS,
          () => Result.ok({ next: 0, events: [] }),
          signal,
        ),
    };
  }

  #generate(
    node: string,
    address: string,
    body: GenerateRequest,
  ): Result<EngineStream, Fault> {
    const engine = this.engines.get(address);
    const host = engine?.options.host ?? "";
    const stream = new MemoryStream(this.#clock, {
      request: body.request,
      faults: this.streamFaults,
      isOpen: () => this.network.findMode(address, node) === "pass",
      onWrite: (index) => this.onEvent({ kind: "token", node, host, index }),
    });
    const reason = engine?.generate(body, stream);
    if (engine === undefined || reason !== undefined) {
      return Result.err({ ...createRefusedFault(), reason: reason ?? "gone" });
    }
    this.#streams.add(stream);
    stream.onClose = () => {
      this.#streams.delete(stream);
      if (this.network.findMode(node, address) === "pass") {
        engine.cancel(body.request);
      }
    };
    return Result.ok(stream);
  }

  async #contactMembers(
    address: string,
    engine: EngineModel,
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(engine.members.map(async (member) => {
      const reply = await this.network.call(
        address,
        member.address,
        MEMBER_INTERVAL_MS,
        () => {
          const other = this.engines.get(member.address);
          return other === undefined
            ? Result.err(createRefusedFault())
            : Result.ok(other.status);
        },
        signal,
      );
      if (reply.isOk) {
        engine.noteMember(member.host, reply.value);
      }
    }));
  }
}

function createRefusedFault(): Fault {
  return { verdict: "not-run", message: "refused" };
}
