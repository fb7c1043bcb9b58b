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

const RETRY_DELAY_MS = 200;
/** Longer, because a search may read all that the log retains. */
const SEARCH_RETRY_DELAY_MS = 2000;

/** The source of an adopted snapshot. */
export type SnapshotSource = "checkpoint" | "peer";

type DecisionHandler<Kind extends ControlRecord["kind"]> = (
  record: ControlRecordOf<Kind>,
  offset: number,
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
  #reducer = new ControlReducer();
  #proposer: Proposer;
  #rules: Rules | undefined;
  #readStatus: ReadStatus = "starting";
  #isLogReachable = false;
  #isCaughtUp = false;
  #needsCheckpoint = true;
  #checkpoint = { asOf: 0, readAt: 0 };
  #unknownRecords = 0;
  #leaseReadTimes = new Map<string, { last: number; readAt: number }>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.catchUpTimes = new CatchUpTimes(this.#clock, this.#settings);
    this.#proposer = new Proposer(
      this.#clock,
      this.#log,
      this.#settings.platform["log-timeout"],
    );
    this.#checkpoint.readAt = this.#clock.now();
  }

  /** The state that all nodes derive from the same records. */
  get control(): ControlReducer {
    return this.#reducer;
  }

  /** The rules in force; undefined while no valid configuration is known. */
  get rules(): Rules | undefined {
    return this.#rules;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReachable(): boolean {
    return this.#isLogReachable;
  }

  /** Whether the last read reached the end of the stream. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp && this.#readStatus === "following";
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
    if (this.#rules !== undefined) {
      return undefined;
    }
    if (this.#reducer.configuration.version > 0) {
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
      obstacle: this.obstacle ?? null,
      unknownRecords: this.#unknownRecords,
      checkpoint: this.#checkpoint,
      ...this.#reducer.createSnapshot(),
    };
  }

  /** When this node read the last accepted lease record of a scope, in ms. */
  findLeaseReadTime(scope: string): number | undefined {
    return this.#leaseReadTimes.get(scope)?.readAt;
  }

  /**
   * Appends a record and waits until the reducer has decided it. The verdict of
   * a refusal says whether the append may have taken effect.
   */
  propose(
    record: ControlRecord,
    signal: AbortSignal,
  ): Promise<Result<Decision, Refusal>> {
    return this.#proposer.propose(record, signal);
  }

  /**
   * Replaces the state with a snapshot of the same stream. Returns false for a
   * snapshot that isn't newer or has a lower version of the configuration.
   */
  adopt(snapshot: ControlSnapshot, source: SnapshotSource): boolean {
    const { version } = this.#reducer.configuration;
    const isNewer = snapshot.asOf > this.#reducer.asOf;
    if (!isNewer || snapshot.configuration.version < version) {
      return false;
    }
    this.#reducer.restore(snapshot);
    this.#recordLeaseReadTimes();
    if (snapshot.configuration.version > version) {
      this.#parseConfiguration();
    }
    for (const id of this.#proposer.pendingIds) {
      this.#resolveFromState(id);
    }
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
        from: this.#reducer.asOf + 1,
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
    const { first, checkpoint } = search.value;
    if (checkpoint !== undefined) {
      this.#recordCheckpoint(checkpoint.asOf);
      this.adopt(checkpoint, "checkpoint");
    }
    const canFollow = first <= this.#reducer.asOf + 1;
    this.#needsCheckpoint = !canFollow;
    this.#setReadStatus(canFollow ? "following" : "expired");
    return canFollow;
  }

  #applyPage(page: LogPage): boolean {
    if (page.first > this.#reducer.asOf + 1) {
      this.#needsCheckpoint = true;
      return true;
    }
    if (page.next <= this.#reducer.asOf) {
      this.#setReadStatus("truncated");
      return false;
    }
    this.#setReadStatus("following");
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
    for (const rawRecord of records) {
      const record = ControlRecord.safeParse(rawRecord);
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
    const isDuplicate = this.#reducer.findDecision(record.id) !== undefined;
    const decision = this.#reducer.apply(offset, record);
    if (isDuplicate) {
      this.#resolveFromState(record.id);
      return;
    }
    const handler = this.#decisionHandlers[record.kind] as
      | DecisionHandler<typeof record.kind>
      | undefined;
    handler?.(record, offset, decision);
    this.#proposer.resolve(record.id, decision);
  }

  /** Run once the reducer has decided a record; some kinds need nothing. */
  readonly #decisionHandlers: {
    readonly [Kind in ControlRecord["kind"]]?: DecisionHandler<Kind>;
  } = {
    "configuration": (_record, offset, decision) => {
      if (decision.accepted) {
        this.#parseConfiguration();
        this.#logger.info("configuration_in_force", { version: offset });
      }
    },
    "lease": () => this.#recordLeaseReadTimes(),
    "checkpoint": ({ state }) => this.#recordCheckpoint(state.asOf),
  };

  /**
   * Resolves a proposal from the state alone, for a record decided earlier. The
   * last lease record of each scope counts as accepted.
   */
  #resolveFromState(id: string): void {
    const isLastLeaseRecord = [...this.#reducer.leases.values()]
      .some(({ lastId }) => lastId === id);
    const accepted = isLastLeaseRecord || this.#reducer.findDecision(id);
    if (accepted !== undefined) {
      const reason = "refused; a snapshot does not include the reason";
      this.#proposer.resolve(
        id,
        accepted ? { accepted } : { accepted, reason },
      );
    }
  }

  #recordCheckpoint(asOf: number): void {
    if (asOf > this.#checkpoint.asOf) {
      this.#checkpoint = { asOf, readAt: this.#clock.now() };
    }
  }

  #recordLeaseReadTimes(): void {
    for (const [scope, { last }] of this.#reducer.leases) {
      if (this.#leaseReadTimes.get(scope)?.last !== last) {
        this.#leaseReadTimes.set(scope, { last, readAt: this.#clock.now() });
      }
    }
  }

  #parseConfiguration(): void {
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
