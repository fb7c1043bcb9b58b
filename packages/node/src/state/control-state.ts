/**
 * The state that this node derives from the control stream.
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
import {
  ControlReducer,
  createPosition,
  type Decision,
} from "@zinniahill/policy";
import {
  type ConfigurationState,
  ControlRecord,
  type ControlRecordOf,
  type ControlSnapshot,
  type LogPage,
  type Refusal,
  type Rules,
  type Settings,
} from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";
import { findNewestCheckpoint, MAX_PAGE_ENTRIES } from "./checkpoint-search.ts";
import { CatchUpTimes } from "./catch-up-times.ts";
import { ConfigurationInForce } from "./configuration-in-force.ts";
import { LeaseReadTimes } from "./lease-read-times.ts";
import { Proposer } from "./proposer.ts";
import { RestorableState } from "./restorable-state.ts";
import { OBSTACLES, type ReadStatus } from "./read-status.ts";

const RETRY_DELAY_MS = 200;
/** Longer, because a search may read all that the log retains. */
const SEARCH_RETRY_DELAY_MS = 2000;

/** The source of an adopted snapshot. */
export type SnapshotSource = "checkpoint" | "peer";

type DecisionHandler<Kind extends ControlRecord["kind"]> = (
  record: ControlRecordOf<Kind>,
  decision: Decision,
) => void;

/** Applies the control stream to the reducer and proposes records. */
export class ControlState implements Service {
  /** Notified when the state, the read status or the log's health changes. */
  readonly changed = new Condition();
  /** When the last reads reached the end of the stream. */
  readonly catchUpTimes: CatchUpTimes;
  #clock: Clock;
  #logger: Logger;
  #log: Log;
  #settings: Settings;
  #tasks: TaskGroup;
  #state = new RestorableState();
  #proposer: Proposer;
  #inForce: ConfigurationInForce;
  #readStatus: ReadStatus = "starting";
  #isLogReachable = false;
  #isCaughtUp = false;
  #needsCheckpoint = true;
  #checkpoint = { asOf: 0, readAt: 0 };
  #unknownRecords = 0;
  #leaseReadTimes: LeaseReadTimes;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#inForce = new ConfigurationInForce(this.#logger);
    this.catchUpTimes = new CatchUpTimes(this.#clock, this.#settings);
    this.#proposer = new Proposer(
      this.#clock,
      this.#log,
      this.#settings.platform["log-timeout"],
    );
    this.#leaseReadTimes = new LeaseReadTimes(this.#clock);
    this.#checkpoint.readAt = this.#clock.now();
  }

  /** The state that all nodes derive from the same records. */
  get control(): ControlReducer {
    return this.#state.current;
  }

  /** The rules in force; undefined while no valid configuration is known. */
  get rules(): Rules | undefined {
    return this.#inForce.rules;
  }

  /** The configuration in force; the log may have lost it in a restore. */
  get configurationInForce(): ConfigurationState {
    return this.#inForce.configuration;
  }

  /** Era of the log that the state belongs to. */
  get era(): number {
    return this.#state.era;
  }

  /** Latest era of the log that this node has seen. */
  get logEra(): number {
    return this.#state.logEra;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReachable(): boolean {
    return this.#isLogReachable;
  }

  /** Whether the last read reached the end of the stream. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp && !this.#state.isRebuilding &&
      this.#readStatus === "following";
  }

  /** Whether the log cannot bring this node up to date at present. */
  get needsPeerSnapshot(): boolean {
    return this.#readStatus === "unreachable" || this.#readStatus === "expired";
  }

  /** The offset that the newest checkpoint covers, and when it was read. */
  get checkpoint(): { readonly asOf: number; readonly readAt: number } {
    return this.#checkpoint;
  }

  /** Why no rules are in force; undefined when there are some. */
  get obstacle(): string | undefined {
    if (this.rules !== undefined) {
      return undefined;
    }
    if (this.control.configuration.version > 0) {
      return "the configuration in force is invalid";
    }
    return OBSTACLES[this.#readStatus];
  }

  start(): void {
    this.#tasks.repeat(
      "read_control",
      RETRY_DELAY_MS,
      (signal) => this.#readStream(signal),
    );
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return {
      isLogReachable: this.#isLogReachable,
      reading: this.#readStatus,
      logEra: this.logEra,
      obstacle: this.obstacle ?? null,
      unknownRecords: this.#unknownRecords,
      checkpoint: this.#checkpoint,
      ...this.control.createSnapshot(),
    };
  }

  /** When this node read the last accepted lease record of a scope, in ms. */
  findLeaseReadTime(scope: string): number | undefined {
    return this.#leaseReadTimes.find(scope);
  }

  /**
   * Appends a record and waits until the reducer has decided it. The verdict of
   * a refusal says whether the append may have taken effect.
   */
  propose(
    record: ControlRecord,
    signal: AbortSignal,
  ): Promise<Result<Decision, Refusal>> {
    const era = this.logEra;
    const stamped = era === 0 ? record : { ...record, era };
    return this.#proposer.propose(stamped, signal);
  }

  /**
   * Replaces the state with a snapshot of the same stream, made in an era of the
   * log. Returns false for a snapshot that isn't newer or has a lower version of
   * the configuration.
   */
  adopt(
    snapshot: ControlSnapshot,
    source: SnapshotSource,
    era = this.era,
  ): boolean {
    const isNewer = createPosition(era, snapshot.asOf) >
      createPosition(this.era, this.control.asOf);
    const { version } = this.#inForce.configuration;
    if (!isNewer || snapshot.configuration.version < version) {
      return false;
    }
    const reducer = new ControlReducer();
    reducer.restore(snapshot);
    this.#replaceState(reducer, era);
    this.#logger.info("state_adopted", { source, as_of: snapshot.asOf });
    this.changed.notify();
    return true;
  }

  async #readStream(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#needsCheckpoint && !await this.#startFromCheckpoint(signal)) {
        await this.#clock.sleep(SEARCH_RETRY_DELAY_MS, signal);
        return;
      }
      const sentAt = this.#clock.now();
      const page = await this.#log.read("control", {
        from: this.#state.reading.asOf + 1,
        max: MAX_PAGE_ENTRIES,
        waitMs: this.#settings.platform["log-poll"],
      }, signal);
      this.#setLogReachable(page.isOk);
      if (page.isErr || !this.#applyPage(page.value)) {
        return;
      }
      if (this.isCaughtUp) {
        this.catchUpTimes.record(sentAt);
      }
    }
  }

  /**
   * Adopts the newest checkpoint. Returns false when the next entry after the
   * state is no longer retained, or the search failed.
   */
  async #startFromCheckpoint(signal: AbortSignal): Promise<boolean> {
    const search = await findNewestCheckpoint(this.#log, signal);
    this.#setLogReachable(search.isOk);
    if (search.isErr) {
      return false;
    }
    const { first, era, checkpoint } = search.value;
    if (!this.#noteEra(era)) {
      return false;
    }
    if (checkpoint !== undefined) {
      this.#recordCheckpoint(checkpoint.asOf);
      if (this.#state.isRebuilding) {
        this.#state.reading.restore(checkpoint);
      } else {
        this.adopt(checkpoint, "checkpoint");
      }
    }
    const canFollow = first <= this.#state.reading.asOf + 1;
    this.#needsCheckpoint = !canFollow;
    this.#setReadStatus(canFollow ? "following" : "expired");
    return canFollow;
  }

  #applyPage(page: LogPage): boolean {
    if (page.era !== this.logEra) {
      return this.#noteEra(page.era);
    }
    const reducer = this.#state.reading;
    if (page.first > reducer.asOf + 1) {
      this.#needsCheckpoint = true;
      return true;
    }
    if (page.next <= reducer.asOf) {
      this.#setReadStatus("truncated");
      return false;
    }
    this.#setReadStatus("following");
    for (const { offset, records } of page.entries) {
      if (offset > reducer.asOf) {
        this.#applyEntry(offset, records);
      }
    }
    this.#isCaughtUp = page.next === reducer.asOf + 1;
    if (this.#isCaughtUp && this.#state.isRebuilding) {
      this.#replaceState();
      this.changed.notify();
    }
    if (page.entries.length > 0) {
      this.changed.notify();
    }
    return true;
  }

  /**
   * Takes note of the era that a reply of the log names. Of a later one, the log
   * is read again, and until that is done the state from before the restore
   * stays. Returns false for a reply of an earlier era, which is out of date.
   */
  #noteEra(era: number): boolean {
    if (era > this.logEra && this.#state.beginEra(era)) {
      this.#logger.warn("log_restored", {
        stream: "control",
        era,
        as_of: this.control.asOf,
      });
      this.#needsCheckpoint = true;
      this.#checkpoint = { asOf: 0, readAt: this.#clock.now() };
    }
    return era >= this.logEra;
  }

  #replaceState(reducer?: ControlReducer, era?: number): void {
    this.#state.replace(reducer, era);
    this.#recordLeaseReadTimes();
    this.#inForce.update(this.control.configuration);
    this.#proposer.resolvePending(this.control);
  }

  #applyEntry(offset: number, records: readonly unknown[]): void {
    for (const rawRecord of records) {
      const record = ControlRecord.safeParse(rawRecord);
      if (record.success) {
        this.#applyRecord(offset, record.data);
      } else {
        this.#unknownRecords++;
        this.#logger.warn("record_unknown", { offset });
      }
    }
    this.#state.reading.skipTo(offset);
  }

  #applyRecord(offset: number, record: ControlRecord): void {
    const isDuplicate = this.control.findDecision(record.id) !== undefined;
    const decision = this.#state.reading.apply(offset, record);
    if (this.#state.isRebuilding) {
      return;
    }
    if (isDuplicate) {
      this.#proposer.resolvePending(this.control);
      return;
    }
    const handler = this.#decisionHandlers[record.kind] as
      | DecisionHandler<typeof record.kind>
      | undefined;
    handler?.(record, decision);
    this.#proposer.resolve(record.id, decision);
  }

  /** Run once the reducer has decided a record; some kinds need nothing. */
  readonly #decisionHandlers: {
    readonly [Kind in ControlRecord["kind"]]?: DecisionHandler<Kind>;
  } = {
    "configuration": (_record, decision) => {
      if (decision.accepted) {
        const { configuration } = this.control;
        this.#inForce.update(configuration);
        this.#logger.info("configuration_in_force", {
          version: configuration.version,
        });
      }
    },
    "lease": () => this.#recordLeaseReadTimes(),
    "checkpoint": ({ state }) => this.#recordCheckpoint(state.asOf),
  };

  #recordCheckpoint(asOf: number): void {
    if (asOf > this.#checkpoint.asOf) {
      this.#checkpoint = { asOf, readAt: this.#clock.now() };
    }
  }

  #recordLeaseReadTimes(): void {
    this.#leaseReadTimes.record(this.control.leases.values());
  }

  #setLogReachable(isReachable: boolean): void {
    if (!isReachable) {
      this.#setReadStatus("unreachable");
    }
    if (this.#isLogReachable !== isReachable) {
      this.#isLogReachable = isReachable;
      this.#logger.info("log_health", { reachable: isReachable });
      this.changed.notify();
    }
  }

  #setReadStatus(reading: ReadStatus): void {
    if (this.#readStatus !== reading) {
      this.#readStatus = reading;
      this.#logger.info("control_reading", { reading });
      this.changed.notify();
    }
  }
}
