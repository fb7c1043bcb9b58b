/**
 * Reads the topics of the store continuously, with one task for each.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import { Result } from "true-myth";
import type { ServiceProfile } from "../model/configuration.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import { eraOf, offsetOf } from "../model/store-position.ts";
import type { Batch, FeedName, FeedStore } from "../adapter.ts";
import type { RelayKernel } from "../services.ts";
import { ConfigurationVersions, InstanceVersions } from "./entry-versions.ts";
import {
  createState,
  type FeedListener,
  type FeedState,
} from "./feed-state.ts";
import { ReadPace, type ReadSharing } from "./read-pace.ts";
import { RecordTable } from "./record-table.ts";

const FEEDS: readonly FeedName[] = ["configuration", "instances", "nodes"];
/** Interval of the checks of a paused feed; peers send heartbeats as often. */
const PAUSE_CHECK_MS = 300;
/** The longest time between reads while a peer sends the updates of a feed. */
const MAX_READ_DELAY_MS = 3000;
/** Without an update for this long, a node reads at its own rate again. */
const UPDATE_VALIDITY_MS = 1000;
/** A feed without a successful read for this long is out of date. */
const STALE_AFTER_MS = 3000;
/**
 * Reads that fail for this long are an outage. It is shorter than the interval
 * at which engines renew their entries, so a shorter failure lets none expire.
 */
const MIN_OUTAGE_MS = 1000;
/**
 * A store that was restored from a copy lacks what was written in the last
 * seconds. Operators and engines write it again within about two seconds; until
 * then, what this node knows counts more than what the store lacks.
 */
const RESTORE_GRACE_MS = 2500;

/** Keeps the newest records of each topic. */
export class Feeds implements Service {
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #store: FeedStore;
  #tasks: TaskGroup;
  #feeds: Record<FeedName, FeedState>;
  #pace: ReadPace;
  #instanceVersions: InstanceVersions;
  /** The era of the last restore that a feed has met. */
  #era = 0;
  #restores = 0;
  #restoreListeners = new Set<() => void>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#store = kernel.find("topics");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#pace = new ReadPace(
      this.#random,
      () => this.#feeds.nodes.table.list().length,
    );
    this.#instanceVersions = new InstanceVersions(kernel.find("decoder"));
    this.#feeds = {
      configuration: createState(
        new RecordTable(new ConfigurationVersions(kernel.find("decoder"))),
      ),
      instances: createState(new RecordTable(this.#instanceVersions)),
      nodes: createState(new RecordTable()),
    };
  }

  start(): void {
    for (const feed of FEEDS) {
      this.#tasks.run(`follow_${feed}`, (signal) => this.#follow(feed, signal));
    }
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Calls a listener after each change from now on. */
  onChange(feed: FeedName, listener: FeedListener): void {
    this.#feeds[feed].listeners.add(listener);
  }

  /** Sets the services whose instances the feed of instances names. */
  useServices(services: readonly ServiceProfile[]): void {
    this.#instanceVersions.useServices(services);
  }

  /** Sets when this node reads at the full rate for any number of nodes. */
  readAtFullRateWhile(isRequired: () => boolean): void {
    this.#pace.readAtFullRateWhile(isRequired);
  }

  /** Sets how the nodes share the reads of the store. */
  shareReads(sharing: ReadSharing): void {
    this.#pace.share(sharing);
  }

  /** Calls a listener once for each restore of the store from now on. */
  onRestore(listener: () => void): void {
    this.#restoreListeners.add(listener);
  }

  /** Whether a peer supplies the feed in place of the store. */
  isPaused(feed: FeedName): boolean {
    return this.#feeds[feed].hasBeenLoaded && this.#pace.isSupplied(feed) &&
      !this.isConfirmationDue(feed);
  }

  /**
   * Whether the feed may still hold what a restored store lacks, or lack what is
   * written to it again.
   */
  isUnconfirmed(feed: FeedName): boolean {
    return this.#feeds[feed].confirmAt !== undefined;
  }

  /** Whether the whole feed has to be read, as the grace is over. */
  isConfirmationDue(feed: FeedName): boolean {
    return this.#clock.now() >= (this.#feeds[feed].confirmAt ?? Infinity);
  }

  /** The delay between two reads that return records. */
  batchDelayMs(feed: FeedName): number {
    return this.#pace.batchDelayMs(feed);
  }

  /** The newest records of a feed. */
  table(feed: FeedName): RecordTable {
    return this.#feeds[feed].table;
  }

  /**
   * Applies records that a peer has read. A peer does not know every deletion,
   * so the next read from the store loads the whole topic.
   */
  applyFromPeer(
    feed: FeedName,
    records: readonly KeyRecord[],
    next: number,
  ): void {
    this.#meetEra(feed, next);
    if (next > this.#feeds[feed].table.next) {
      this.#feeds[feed].isLoaded = false;
    }
    this.#apply(feed, (table) => table.apply(records, next));
  }

  /**
   * Applies the whole feed as a peer knows it, deletions included. `isConfirmed`
   * if the peer has read it from the store after the grace of a restore.
   */
  applySnapshotFromPeer(
    feed: FeedName,
    records: readonly KeyRecord[],
    next: number,
    isConfirmed: boolean,
  ): void {
    this.#meetEra(feed, next);
    this.#apply(
      feed,
      (table) => table.applySnapshot(records, next, !isConfirmed),
    );
    if (isConfirmed && eraOf(next) === this.#eraOf(feed)) {
      this.#feeds[feed].confirmAt = undefined;
    }
  }

  /** Applies a peer's update: all changes up to `next`, which it just read. */
  applyUpdate(
    feed: FeedName,
    records: readonly KeyRecord[],
    next: number,
  ): void {
    const state = this.#feeds[feed];
    state.updatedAt = this.#clock.now();
    state.upToDateAt = state.updatedAt;
    this.#meetEra(feed, next);
    this.#apply(feed, (table) => table.apply(records, next));
  }

  /** Records that a peer knew of no newer record `ageMs` ago. */
  markUpToDate(feed: FeedName, ageMs: number): void {
    const state = this.#feeds[feed];
    const upToDateAt = this.#clock.now() - ageMs;
    state.upToDateAt = Math.max(state.upToDateAt, upToDateAt);
  }

  /** Time since the feed was known to be complete. */
  ageMs(feed: FeedName): number {
    return this.#clock.now() - this.#feeds[feed].upToDateAt;
  }

  /** Whether newer records may have been missing for too long. */
  isStale(feed: FeedName): boolean {
    return this.ageMs(feed) > STALE_AFTER_MS;
  }

  /** Whether the store answered this node's last read of the feed. */
  isReachable(feed: FeedName): boolean {
    return this.#feeds[feed].isReachable;
  }

  /** Number of restores of the store that this node has met. */
  get restores(): number {
    return this.#restores;
  }

  /** Time since the last outage of the store; zero during an outage. */
  sinceOutageMs(feed: FeedName): number {
    const { failingSince, outageEndedAt } = this.#feeds[feed];
    const now = this.#clock.now();
    const isOutage = failingSince !== undefined &&
      now - failingSince >= MIN_OUTAGE_MS;
    return isOutage ? 0 : now - outageEndedAt;
  }

  dump(): unknown {
    return Object.fromEntries(FEEDS.map((feed) => [feed, {
      era: this.#eraOf(feed),
      next: offsetOf(this.#feeds[feed].table.next),
      isUnconfirmed: this.isUnconfirmed(feed),
      keys: this.#feeds[feed].table.list().length,
      ageMs: Math.round(this.ageMs(feed)),
      isReachable: this.#feeds[feed].isReachable,
    }]));
  }

  async #follow(feed: FeedName, signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      await this.#waitWhilePaused(feed, signal);
      const startedAt = this.#clock.now();
      const read = await this.#read(feed, signal);
      if (signal.aborted) {
        return;
      }
      if (read.isErr) {
        failures++;
        this.#recordFailure(feed, startedAt, read.error.message);
        await this.#clock.sleep(this.#pace.drawRetryDelayMs(failures), signal);
        continue;
      }
      failures = 0;
      this.#recordSuccess(feed, startedAt);
      if (read.value > 0) {
        await this.#delayNextRead(feed, signal);
      }
    }
  }

  async #waitWhilePaused(feed: FeedName, signal: AbortSignal): Promise<void> {
    const pausedAt = this.#clock.now();
    while (this.isPaused(feed)) {
      await this.#clock.sleep(PAUSE_CHECK_MS, signal);
    }
    const now = this.#clock.now();
    if (now - pausedAt >= MIN_OUTAGE_MS) {
      // This node would not have noticed an outage meanwhile.
      this.#feeds[feed].outageEndedAt = now;
    }
  }

  /** Delays the next read, for longer while a peer sends updates. */
  async #delayNextRead(feed: FeedName, signal: AbortSignal): Promise<void> {
    const state = this.#feeds[feed];
    const startedAt = this.#clock.now();
    const isUpdatedByPeer = () =>
      !this.#pace.isAtFullRate &&
      this.#clock.now() - state.updatedAt < UPDATE_VALIDITY_MS &&
      this.#clock.now() - startedAt < MAX_READ_DELAY_MS &&
      !this.isConfirmationDue(feed);
    do {
      await this.#clock.sleep(this.batchDelayMs(feed), signal);
    } while (isUpdatedByPeer());
  }

  /** Reads once; the result is the number of records. */
  async #read(
    feed: FeedName,
    signal: AbortSignal,
  ): Promise<Result<number, { message: string }>> {
    const state = this.#feeds[feed];
    if (!state.isLoaded || this.isConfirmationDue(feed)) {
      return this.#load(feed, signal);
    }
    const batch = await this.#store.readFrom(
      feed,
      state.table.next,
      this.#getWaitMs(feed),
      signal,
    );
    if (batch.isErr && batch.error.isHistoryLost) {
      if (state.historyLosses > 0) {
        // Without a pause, a store that never has the offset would be read in a
        // loop.
        const pauseMs = this.#pace.drawRetryDelayMs(state.historyLosses);
        await this.#clock.sleep(pauseMs, signal);
      }
      state.historyLosses++;
      state.isLoaded = false;
      this.#logger.warn("feed_history_lost", {
        feed,
        era: this.#eraOf(feed),
        offset: offsetOf(state.table.next),
      });
      return this.#load(feed, signal);
    }
    return batch.map((value) => {
      state.historyLosses = 0;
      return this.#applyBatch(feed, value);
    });
  }

  /** The longest wait of a read, which ends when the grace does. */
  #getWaitMs(feed: FeedName): number {
    const { confirmAt } = this.#feeds[feed];
    const waitMs = this.#pace.waitMs(feed);
    return confirmAt === undefined
      ? waitMs
      : Math.min(waitMs, Math.ceil(confirmAt - this.#clock.now()));
  }

  async #load(
    feed: FeedName,
    signal: AbortSignal,
  ): Promise<Result<number, { message: string }>> {
    const state = this.#feeds[feed];
    const startedAt = this.#clock.now();
    const snapshot = await this.#store.readNewest(feed, signal);
    return snapshot.andThen(({ records, next }) => {
      if (eraOf(next) < this.#eraOf(feed)) {
        const message = "the snapshot was read before the store was restored";
        return Result.err({ message });
      }
      this.#meetEra(feed, next);
      const isConfirmed = startedAt >= (state.confirmAt ?? -Infinity);
      this.#apply(
        feed,
        (table) => table.applySnapshot(records, next, !isConfirmed),
      );
      if (isConfirmed) {
        state.confirmAt = undefined;
      }
      state.isLoaded = true;
      state.hasBeenLoaded = true;
      return Result.ok(0);
    });
  }

  /** The latest era of which this node has read the feed. */
  #eraOf(feed: FeedName): number {
    return eraOf(this.#feeds[feed].table.next);
  }

  /**
   * Begins the grace if the next records are of a later era. A node that starts
   * in a later era does not know how long ago the store was restored.
   */
  #meetEra(feed: FeedName, next: number): void {
    const state = this.#feeds[feed];
    const before = state.table.next;
    const era = eraOf(next);
    if (era <= eraOf(before)) {
      return;
    }
    const now = this.#clock.now();
    state.confirmAt = now + RESTORE_GRACE_MS +
      this.#pace.drawConfirmationDelayMs();
    state.isLoaded = false;
    if (!state.hasBeenLoaded && before === 0) {
      return;
    }
    state.outageEndedAt = now;
    this.#logger.warn("store_restored", {
      feed,
      era,
      before: eraOf(before),
      next: offsetOf(next),
      next_before: offsetOf(before),
    });
    if (era > this.#era) {
      this.#era = era;
      this.#restores++;
      this.#restoreListeners.forEach((listener) => listener());
    }
  }

  #applyBatch(feed: FeedName, { records, next }: Batch): number {
    this.#apply(feed, (table) => table.apply(records, next));
    return records.length;
  }

  #apply(
    feed: FeedName,
    change: (table: RecordTable) => readonly KeyRecord[],
  ): void {
    const state = this.#feeds[feed];
    const changed = change(state.table);
    if (changed.length > 0) {
      state.listeners.forEach((listener) => listener(changed));
    }
  }

  #recordSuccess(feed: FeedName, startedAt: number): void {
    const state = this.#feeds[feed];
    if (!state.isReachable) {
      state.isReachable = true;
      this.#logger.info("dependency_regained", { dependency: "store", feed });
    }
    const now = this.#clock.now();
    if (startedAt - (state.failingSince ?? startedAt) >= MIN_OUTAGE_MS) {
      state.outageEndedAt = now;
    }
    state.failingSince = undefined;
    state.upToDateAt = Math.max(state.upToDateAt, startedAt);
  }

  #recordFailure(feed: FeedName, startedAt: number, error: string): void {
    const state = this.#feeds[feed];
    state.failingSince ??= startedAt;
    if (state.isReachable) {
      state.isReachable = false;
      this.#logger.warn("dependency_lost", {
        dependency: "store",
        feed,
        error,
        age_ms: Math.round(this.ageMs(feed)),
      });
    }
  }
}
