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
} from "@zinniahill/kernel";
import type { Log } from "@zinniahill/clients";
import { ControlReducer, type Decision } from "@zinniahill/policy";
import {
  ControlRecord,
  type ControlRecordOf,
  type ControlSnapshot,
  type LogPage,
  parseRules,
  type Refusal,
  type Rules,
  type Settings,
} from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";
import { findNewestCheckpoint, MAX_PAGE_ENTRIES } from "./checkpoint-search.ts";
import { CatchUpTimes } from "./catch-up-times.ts";
import { Proposer } from "./proposer.ts";
import { OBSTACLES, type ReadStatus } from "./read-status.ts";

const RETRY_PAUSE_MS = 200;
/** A search reads all that is retained, so it is not repeated at once. */
const SEARCH_PAUSE_MS = 2000;

/** Where a state that was adopted as a whole came from. */
export type SnapshotSource = "checkpoint" | "peer";

type Effect<Kind extends ControlRecord["kind"]> = (
  record: ControlRecordOf<Kind>,
  offset: number,
  decision: Decision,
) => void;

/** Reads the control stream and proposes records to it. */
export class ControlState implements Service {
  /** Notified whenever the state or the log's health changes. */
  readonly changed = new Condition();
  /** When reads reached the end of the stream. */
  readonly catchUpTimes: CatchUpTimes;
  #clock: Clock;
  #logger: Logger;
  #log: Log;
  #settings: Settings;
  #tasks: TaskGroup;
  #reducer = new ControlReducer();
  #proposals: Proposer;
  #rules: Rules | undefined;
  #reading: ReadStatus = "starting";
  #isLogReachable = false;
  #isCaughtUp = false;
  #mustSearch = true;
  #checkpoint = { asOf: 0, readAt: 0 };
  #unknownRecords = 0;
  #leaseReadAt = new Map<string, { last: number; at: number }>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.catchUpTimes = new CatchUpTimes(this.#clock, this.#settings);
    this.#proposals = new Proposer(
      this.#clock,
      this.#log,
      this.#settings.platform["log-timeout"],
    );
    this.#checkpoint.readAt = this.#clock.now();
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

  /** Whether the last read reached the end of the stream. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp && this.#reading === "following";
  }

  /** Whether the log cannot bring this node's state up to date at present. */
  get needsPeerSnapshot(): boolean {
    return this.#reading === "unreachable" || this.#reading === "expired";
  }

  /** The newest checkpoint that was read, and when. */
  get checkpoint(): { readonly asOf: number; readonly readAt: number } {
    return this.#checkpoint;
  }

  /** Why no rules are in force; undefined when there are some. */
  get obstacle(): string | undefined {
    if (this.#rules !== undefined) {
      return undefined;
    }
    if (this.#reducer.configuration.version > 0) {
      return "the configuration in force is invalid";
    }
    return OBSTACLES[this.#reading];
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
      reading: this.#reading,
      obstacle: this.obstacle ?? null,
      unknownRecords: this.#unknownRecords,
      checkpoint: this.#checkpoint,
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
  propose(
    record: ControlRecord,
    signal: AbortSignal,
  ): Promise<Result<Decision, Refusal>> {
    return this.#proposals.propose(record, signal);
  }

  /**
   * Replaces the state by a later one of the same stream. An earlier state, or
   * one with a lower version of the configuration, is refused.
   */
  adopt(snapshot: ControlSnapshot, source: SnapshotSource): boolean {
    const { version } = this.#reducer.configuration;
    const isLater = snapshot.asOf > this.#reducer.asOf;
    if (!isLater || snapshot.configuration.version < version) {
      return false;
    }
    this.#reducer.restore(snapshot);
    this.#noteLeases();
    if (snapshot.configuration.version > version) {
      this.#readRules();
    }
    for (const id of this.#proposals.pendingIds) {
      this.#settleFromState(id);
    }
    this.#logger.info("state_adopted", { source, as_of: snapshot.asOf });
    this.changed.notify();
    return true;
  }

  async #readStream(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#mustSearch && !await this.#startFromCheckpoint(signal)) {
        await this.#clock.sleep(SEARCH_PAUSE_MS, signal);
        return;
      }
      const sentAt = this.#clock.now();
      const page = await this.#log.read("control", {
        from: this.#reducer.asOf + 1,
        max: MAX_PAGE_ENTRIES,
        waitMs: this.#settings.platform["log-poll"],
      }, signal);
      this.#setReachable(page.isOk);
      if (page.isErr || !this.#applyPage(page.value)) {
        return;
      }
      if (this.isCaughtUp) {
        this.catchUpTimes.record(sentAt);
      }
    }
  }

  /** Adopts the newest checkpoint; fails when no entry can follow the state. */
  async #startFromCheckpoint(signal: AbortSignal): Promise<boolean> {
    const search = await findNewestCheckpoint(this.#log, signal);
    this.#setReachable(search.isOk);
    if (search.isErr) {
      return false;
    }
    const { first, checkpoint } = search.value;
    if (checkpoint !== undefined) {
      this.#noteCheckpoint(checkpoint.asOf);
      this.adopt(checkpoint, "checkpoint");
    }
    const canFollow = first <= this.#reducer.asOf + 1;
    this.#mustSearch = !canFollow;
    this.#setReading(canFollow ? "following" : "expired");
    return canFollow;
  }

  #applyPage(page: LogPage): boolean {
    if (page.first > this.#reducer.asOf + 1) {
      this.#mustSearch = true;
      return true;
    }
    if (page.next <= this.#reducer.asOf) {
      this.#setReading("truncated");
      return false;
    }
    this.#setReading("following");
    for (const { offset, records } of page.entries) {
      if (offset > this.#reducer.asOf) {
        this.#applyEntry(offset, records);
      }
    }
    this.#isCaughtUp = page.next === this.#reducer.asOf + 1;
    if (page.entries.length > 0) {
      this.changed.notify();
    }
    return true;
  }

  #applyEntry(offset: number, records: readonly unknown[]): void {
    for (const candidate of records) {
      const record = ControlRecord.safeParse(candidate);
      if (record.success) {
        this.#applyRecord(offset, record.data);
      } else {
        this.#unknownRecords++;
        this.#logger.warn("record_unknown", { offset });
      }
    }
    this.#reducer.skipTo(offset);
  }

  #applyRecord(offset: number, record: ControlRecord): void {
    const isRepeat = this.#reducer.findDecision(record.id) !== undefined;
    const decision = this.#reducer.apply(offset, record);
    if (isRepeat) {
      this.#settleFromState(record.id);
      return;
    }
    const effect = this.#effects[record.kind] as
      | Effect<typeof record.kind>
      | undefined;
    effect?.(record, offset, decision);
    this.#proposals.resolve(record.id, decision);
  }

  /** What this node does once the reducer has decided a record. */
  readonly #effects: {
    readonly [Kind in ControlRecord["kind"]]?: Effect<Kind>;
  } = {
    "configuration": (_record, offset, decision) => {
      if (decision.accepted) {
        this.#readRules();
        this.#logger.info("configuration_in_force", { version: offset });
      }
    },
    "lease": () => this.#noteLeases(),
    "checkpoint": ({ state }) => this.#noteCheckpoint(state.asOf),
  };

  #settleFromState(id: string): void {
    const isHeld = [...this.#reducer.leases.values()]
      .some(({ lastId }) => lastId === id);
    const accepted = isHeld || this.#reducer.findDecision(id);
    if (accepted !== undefined) {
      const reason = "refused; the reason is not part of a snapshot";
      this.#proposals.resolve(
        id,
        accepted ? { accepted } : { accepted, reason },
      );
    }
  }

  #noteCheckpoint(asOf: number): void {
    if (asOf > this.#checkpoint.asOf) {
      this.#checkpoint = { asOf, readAt: this.#clock.now() };
    }
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
    if (!isReachable) {
      this.#setReading("unreachable");
    }
    if (this.#isLogReachable !== isReachable) {
      this.#isLogReachable = isReachable;
      this.#logger.info("log_health", { reachable: isReachable });
      this.changed.notify();
    }
  }

  #setReading(reading: ReadStatus): void {
    if (this.#reading !== reading) {
      this.#reading = reading;
      this.#logger.info("control_reading", { reading });
      this.changed.notify();
    }
  }
}
