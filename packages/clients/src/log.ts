/**
 * Client of the platform's log service.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import { AppendReply, LogPage } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Agent } from "undici";
import type { Fault } from "./fault.ts";
import { callJson } from "./http.ts";
import { TrafficCounter } from "./traffic-counter.ts";

/** The streams of the log that the system uses. */
export type LogStream = "control" | "calls";

/** Which entries to read, and how long to wait for them. */
export interface LogReadOptions {
  /** Offset of the first entry. */
  readonly from: number;
  /** Maximum number of entries. */
  readonly max: number;
  /** How long the log may wait for the first entry (long polling). */
  readonly waitMs: number;
}

/** The platform's append-only log. */
export interface Log extends Service {
  /** Appends records as one entry; returns the entry's offset. */
  append(
    stream: LogStream,
    records: readonly unknown[],
    signal?: AbortSignal,
  ): Promise<Result<number, Fault>>;
  /** Reads entries from an offset on. */
  read(
    stream: LogStream,
    options: LogReadOptions,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, Fault>>;
}

/** Address of the log and time limit of its calls. */
export interface LogOptions {
  readonly address: string;
  readonly timeoutMs: number;
}

/** HTTP client of the log. */
export class LogClient implements Log {
  #clock: Clock;
  #options: LogOptions;
  #agent: Agent;

  constructor(
    clock: Clock,
    options: LogOptions,
    traffic: TrafficCounter = new TrafficCounter(),
  ) {
    this.#clock = clock;
    this.#options = options;
    this.#agent = traffic.createAgent("log");
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async append(
    stream: LogStream,
    records: readonly unknown[],
    signal?: AbortSignal,
  ): Promise<Result<number, Fault>> {
    const reply = await callJson(this.#clock, this.#agent, {
      address: this.#options.address,
      method: "POST",
      path: `/streams/${stream}/entries`,
      body: records,
      timeoutMs: this.#options.timeoutMs,
      schema: AppendReply,
      signal,
    });
    return reply.map(({ offset }) => offset);
  }

  read(
    stream: LogStream,
    options: LogReadOptions,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, Fault>> {
    const { from, max, waitMs } = options;
    return callJson(this.#clock, this.#agent, {
      address: this.#options.address,
      method: "GET",
      path:
        `/streams/${stream}/entries?from=${from}&max=${max}&wait_ms=${waitMs}`,
      timeoutMs: waitMs + this.#options.timeoutMs,
      schema: LogPage,
      signal,
    });
  }
}
