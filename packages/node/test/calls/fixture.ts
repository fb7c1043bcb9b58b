/**
 * Runs nodes with only the call executor on the in-memory platform.
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

export const RECORDS_ADDRESS = "10.0.0.1:9001";
export const SECOND_RECORDS_ADDRESS = "10.0.0.2:9001";
export const CALL_DEADLINE_MS = 10_000;

const NOOP_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

/** A clock that a test can advance to simulate a pause of the process. */
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

/** A node that runs only the call executor. */
export interface CallNode {
  readonly name: string;
  readonly calls: CallExecutor;
  readonly clock: PausableClock;
  stop(): Promise<void>;
}

/** The status and body of a reply, or the verdict and code of a refusal. */
export interface CallResult {
  readonly status?: number;
  readonly body?: string;
  readonly verdict?: string;
  readonly code?: string;
}

/** The in-memory platform with one record service, and nodes to be started. */
export class CallCluster {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly recordService: RecordModel = this.platform.addRecordService(
    RECORDS_ADDRESS,
  );

  /** Starts a node; `wrapLog` can inject faults between it and the log. */
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
    kernel.provide("logger", [], () => NOOP_LOGGER);
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

  /** Starts a call; its result is set once the call completes. */
  startCall(
    node: CallNode,
    key: string,
    overrides: Partial<ServiceCall> = {},
  ): { result?: CallResult } {
    const pendingCall: { result?: CallResult } = {};
    const call = { ...createCall(key), ...overrides };
    node.calls.execute(call, new AbortController().signal).then((reply) => {
      pendingCall.result = reply.match<CallResult>({
        Ok: ({ status, body }) => ({ status, body: body.toString() }),
        Err: ({ verdict, code }) => ({ verdict, code }),
      });
    });
    return pendingCall;
  }

  /** Makes a call and advances the clock past its deadline. */
  async completeCall(
    node: CallNode,
    key: string,
    overrides: Partial<ServiceCall> = {},
  ): Promise<CallResult> {
    const pendingCall = this.startCall(node, key, overrides);
    await this.clock.advance(CALL_DEADLINE_MS + 100);
    return pendingCall.result ?? {};
  }
}

/** Creates a write with an idempotency key. */
export function createCall(key: string): ServiceCall {
  return {
    requestId: `request-of-${key}`,
    account: "north",
    service: ServiceRule.parse({ name: "records", upstreams: RECORDS_ADDRESS }),
    method: "POST",
    path: "/writes?source=test",
    headers: { "idempotency-key": key },
    idempotencyKey: key,
    body: Buffer.from(`body of ${key}`),
  };
}
