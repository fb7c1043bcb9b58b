/**
 * Nodes that only make calls, on the platform in memory.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  type Clock,
  Kernel,
  ManualClock,
  SeededRandom,
  sleepUsing,
} from "@zinniahill/kernel";
import type { Log } from "@zinniahill/clients";
import { ServiceRule } from "@zinniahill/schema";
import { createSettings } from "../settings.ts";
import { MemoryPlatform, type RecordModel } from "@zinniahill/stand-ins";
import { CallExecutor } from "../../src/calls/call-executor.ts";
import type { ServiceCall } from "../../src/calls/service-call.ts";
import type { Services } from "../../src/services.ts";

export const RECORDS = "10.0.0.1:9001";
export const SECOND_RECORDS = "10.0.0.2:9001";
export const CALL_DEADLINE_MS = 10_000;

const SILENT_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

/** A clock that a test can move ahead, as after a pause of the process. */
export class PausableClock implements Clock {
  pausedMs = 0;
  #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now() + this.pausedMs;
  }

  wallTime(): number {
    return this.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUsing(this, ms, signal);
  }

  schedule(ms: number, callback: () => void): () => void {
    return this.#clock.schedule(ms, callback);
  }
}

/** One node of a test. */
export interface CallNode {
  readonly name: string;
  readonly calls: CallExecutor;
  readonly clock: PausableClock;
  stop(): Promise<void>;
}

/** What a caller was told. */
export interface Told {
  readonly status?: number;
  readonly body?: string;
  readonly verdict?: string;
  readonly code?: string;
}

/** The platform with its nodes and one record service. */
export class CallWorld {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly records: RecordModel = this.platform.addRecordService(RECORDS);

  /** Starts a node; `wrapLog` puts a fault between it and the log. */
  async startNode(
    name: string,
    seed: number,
    wrapLog: (log: Log, clock: PausableClock) => Log = (log) => log,
  ): Promise<CallNode> {
    const clients = this.platform.createClients(name);
    const clock = new PausableClock(this.clock);
    const kernel = new Kernel<Services>();
    kernel.provide("clock", [], () => clock);
    kernel.provide("random", [], () => new SeededRandom(seed));
    kernel.provide("logger", [], () => SILENT_LOGGER);
    kernel.provide("settings", [], () => createSettings(name));
    kernel.provide("log", [], () => wrapLog(clients.log, clock));
    kernel.provide("plainServices", [], () => clients.plainServices);
    kernel.provide(
      "calls",
      ["clock", "random", "logger", "settings", "log", "plainServices"],
      (services) => new CallExecutor(services),
    );
    await kernel.start();
    await this.clock.advance(10);
    const calls = kernel.find("calls");
    return { name, calls, clock, stop: () => kernel.stop() };
  }

  /** Begins a call; the result is filled in when the caller is answered. */
  begin(
    node: CallNode,
    key: string,
    change: Partial<ServiceCall> = {},
  ): { told?: Told } {
    const answer: { told?: Told } = {};
    const call = { ...createCall(key), ...change };
    node.calls.execute(call, new AbortController().signal).then((reply) => {
      answer.told = reply.match<Told>({
        Ok: ({ status, body }) => ({ status, body: body.toString() }),
        Err: ({ verdict, code }) => ({ verdict, code }),
      });
    });
    return answer;
  }

  /** Makes a call and lets its whole deadline pass. */
  async call(
    node: CallNode,
    key: string,
    change: Partial<ServiceCall> = {},
  ): Promise<Told> {
    const answer = this.begin(node, key, change);
    await this.clock.advance(CALL_DEADLINE_MS + 100);
    return answer.told ?? {};
  }
}

/** Creates a write with a key. */
export function createCall(key: string): ServiceCall {
  return {
    requestId: `request-of-${key}`,
    account: "north",
    service: ServiceRule.parse({ name: "records", upstreams: RECORDS }),
    method: "POST",
    path: "/writes?source=test",
    headers: { "idempotency-key": key },
    idempotencyKey: key,
    body: Buffer.from(`body of ${key}`),
  };
}
