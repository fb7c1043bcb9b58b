/**
 * The control stream as this node has read it.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { Log } from "@zinniahill/platform";
import { ControlReducer, type Decision } from "@zinniahill/policy";
import {
  ControlRecord,
  type LogPage,
  parseRules,
  Refusal,
  type Rules,
  type Settings,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";

const PAGE_ENTRIES = 500;
const RETRY_PAUSE_MS = 200;

/** Reads the control stream and proposes records to it. */
export class ControlState implements Service {
  /** Notified whenever the state or the log's health changes. */
  readonly changed = new Condition();
  #clock: Clock;
  #logger: Logger;
  #log: Log;
  #settings: Settings;
  #tasks: TaskGroup;
  #reducer = new ControlReducer();
  #rules: Rules | undefined;
  #isLogReachable = false;
  #leaseReadAt = new Map<string, { last: number; at: number }>();
  #decisions = new Map<string, (decision: Decision) => void>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  /** The agreed state. */
  get control(): ControlReducer {
    return this.#reducer;
  }

  /** The rules in force; undefined while no configuration is known. */
  get rules(): Rules | undefined {
    return this.#rules;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReachable(): boolean {
    return this.#isLogReachable;
  }

  start(): void {
    this.#tasks.repeat(
      "read_control",
      RETRY_PAUSE_MS,
      (signal) => this.#readStream(signal),
    );
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return {
      isLogReachable: this.#isLogReachable,
      ...this.#reducer.createSnapshot(),
    };
  }

  /** When this node read the last accepted lease record of a scope. */
  findLeaseReadTime(scope: string): number | undefined {
    return this.#leaseReadAt.get(scope)?.at;
  }

  /**
   * Appends a record and waits until this node has read it. The decision is
   * the reducer's; a refusal says whether the append may have taken effect.
   */
  async propose(
    record: ControlRecord,
    signal: AbortSignal,
  ): Promise<Result<Decision, Refusal>> {
    const decided = new Promise<Decision>((resolve) => {
      this.#decisions.set(record.id, resolve);
    });
    try {
      const appended = await this.#log.append("control", [record], signal);
      if (appended.isErr && appended.error.verdict === "not-run") {
        return Result.err(
          new Refusal("log-unavailable", "not-run", appended.error.message),
        );
      }
      const limitMs = 2 * this.#settings.platform["log-timeout"];
      const decision = await withDeadline(
        this.#clock,
        limitMs,
        signal,
        () => decided,
      );
      return Result.ok(decision);
    } catch {
      return Result.err(
        new Refusal(
          "log-unavailable",
          "may-have-run",
          "the record was not read back in time",
        ),
      );
    } finally {
      this.#decisions.delete(record.id);
    }
  }

  async #readStream(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.#log.read("control", {
        from: this.#reducer.asOf + 1,
        max: PAGE_ENTRIES,
        waitMs: this.#settings.platform["log-poll"],
      }, signal);
      this.#setReachable(page.isOk);
      if (page.isErr) {
        return;
      }
      this.#applyPage(page.value);
    }
  }

  #applyPage(page: LogPage): void {
    if (page.first > this.#reducer.asOf + 1) {
      this.#adoptCheckpoint(page);
    }
    for (const { offset, records } of page.entries) {
      if (offset > this.#reducer.asOf) {
        this.#applyEntry(offset, records);
      }
    }
  }

  #adoptCheckpoint(page: LogPage): void {
    for (const { records } of page.entries) {
      for (const candidate of records) {
        const record = ControlRecord.safeParse(candidate);
        if (record.success && record.data.kind === "checkpoint") {
          this.#reducer.restore(record.data.state);
          this.#readRules();
          return;
        }
      }
    }
  }

  #applyEntry(offset: number, records: readonly unknown[]): void {
    for (const candidate of records) {
      const record = ControlRecord.safeParse(candidate);
      if (!record.success) {
        this.#logger.warn("record_unknown", { offset });
        continue;
      }
      this.#applyRecord(offset, record.data);
    }
    this.#reducer.skipTo(offset);
    this.changed.notify();
  }

  #applyRecord(offset: number, record: ControlRecord): void {
    const decision = this.#reducer.apply(offset, record);
    this.#noteLeases();
    if (record.kind === "configuration" && decision.accepted) {
      this.#readRules();
      this.#logger.info("configuration_in_force", { version: offset });
    }
    this.#decisions.get(record.id)?.(decision);
  }

  #noteLeases(): void {
    for (const [scope, { last }] of this.#reducer.leases) {
      if (this.#leaseReadAt.get(scope)?.last !== last) {
        this.#leaseReadAt.set(scope, { last, at: this.#clock.now() });
      }
    }
  }

  #readRules(): void {
    parseRules(this.#reducer.configuration.text).match({
      Ok: (rules) => {
        this.#rules = rules;
      },
      Err: ([fault]) =>
        this.#logger.error("configuration_invalid", {
          version: this.#reducer.configuration.version,
          line: fault?.line,
          error: fault?.message,
        }),
    });
  }

  #setReachable(isReachable: boolean): void {
    if (this.#isLogReachable !== isReachable) {
      this.#isLogReachable = isReachable;
      this.#logger.info("log_health", { reachable: isReachable });
      this.changed.notify();
    }
  }
}
