/**
 * Follows the topics of the store, one task for each.
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
import type { Result } from "true-myth";
import type { KeyRecord } from "../model/peer-message.ts";
import type { Batch, FeedName, FeedStore } from "../adapter.ts";
import type { RelayKernel } from "../services.ts";
import { RecordTable } from "./record-table.ts";

/** Called with records that are newer than those known before. */
export type FeedListener = (records: readonly KeyRecord[]) => void;

/** How a topic is followed. */
interface FollowPlan {
  /** How long the store may hold a read open. */
  readonly waitMs: number;
  /** Pause after records came, so that the next read collects several. */
  readonly collectMs: number;
  /** What each node beyond a few adds to both. */
  readonly perNode: {
    /** Peers notice in the read's place what a silent connection hides. */
    readonly waitMs: number;
    /** Keeps all nodes together at about 50 reads a second. */
    readonly collectMs: number;
  };
}

/**
 * A read held open for longer hides a connection that went silent; a shorter
 * one costs calls. Changes must be in force within 2 s of their confirmation.
 */
const PLANS: Readonly<Record<FeedName, FollowPlan>> = {
  configuration: {
    waitMs: 1200,
    collectMs: 20,
    perNode: { waitMs: 45, collectMs: 0 },
  },
  instances: {
    waitMs: 1200,
    collectMs: 60,
    perNode: { waitMs: 0, collectMs: 20 },
  },
  nodes: {
    waitMs: 5000,
    collectMs: 200,
    perNode: { waitMs: 0, collectMs: 0 },
  },
};
/** As many nodes as this may each read at the full pace. */
const FEW_NODES = 4;
const FEEDS = Object.keys(PLANS) as FeedName[];
const RETRY_MS = 150;
const MAX_RETRY_MS = 700;
/** A node that the store turns away hears from its peers meanwhile. */
const MAX_RETRY_MS_PER_NODE = 45;
/** A node that hears the news of a feed reads the store this seldom. */
const FED_READ_MS = 3000;
/** Without news for this long, a node reads at its own pace again. */
const FED_VALID_MS = 1000;
/** A feed without a successful read for this long is out of date. */
const STALE_AFTER_MS = 3000;
/**
 * Reads that fail for this long are an outage. It is shorter than the interval
 * at which engines renew their entries, so less lets no entry lapse.
 */
const OUTAGE_MS = 1000;

/** Where one feed stands. */
interface Progress {
  readonly table: RecordTable;
  readonly listeners: Set<FeedListener>;
  isLoaded: boolean;
  /** When all records up to then are known to have been read. */
  currentAt: number;
  isReachable: boolean;
  /**
   * When the first of the reads began that failed without a successful one
   * since; undefined after a success.
   */
  failingSince: number | undefined;
  /** When news last came from the node that reads most often. */
  fedAt: number;
  /** When the last outage of the store ended. */
  outageEndedAt: number;
}

/** Keeps a table of the newest records of each topic. */
export class Feeds implements Service {
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #topics: FeedStore;
  #tasks: TaskGroup;
  #feeds: Record<FeedName, Progress>;
  #isHurried = () => false;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#topics = kernel.find("topics");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#feeds = {
      configuration: createProgress(),
      instances: createProgress(),
      nodes: createProgress(),
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

  /** Calls a listener for each change from now on. */
  onChange(feed: FeedName, listener: FeedListener): void {
    this.#feeds[feed].listeners.add(listener);
  }

  /** Sets when this node reads at the pace of few nodes all the same. */
  readAtFullRateWhile(isHurried: () => boolean): void {
    this.#isHurried = isHurried;
  }

  /** The pause between two reads that bring records. */
  batchDelayMs(feed: FeedName): number {
    const { collectMs, perNode } = PLANS[feed];
    return this.#isHurried()
      ? collectMs
      : collectMs + perNode.collectMs * this.#countFurtherNodes();
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
    if (next > this.#feeds[feed].table.next) {
      this.#feeds[feed].isLoaded = false;
    }
    this.#apply(feed, (table) => table.apply(records, next));
  }

  /** Applies everything that is new up to `next`, as it was just read. */
  applyUpdate(
    feed: FeedName,
    records: readonly KeyRecord[],
    next: number,
  ): void {
    const progress = this.#feeds[feed];
    progress.fedAt = this.#clock.now();
    progress.currentAt = progress.fedAt;
    this.#apply(feed, (table) => table.apply(records, next));
  }

  /** Notes that a peer knew nothing newer `ageMs` ago. */
  markUpToDate(feed: FeedName, ageMs: number): void {
    const progress = this.#feeds[feed];
    const currentAt = this.#clock.now() - ageMs;
    progress.currentAt = Math.max(progress.currentAt, currentAt);
  }

  /** How long ago the feed was known to be complete. */
  ageMs(feed: FeedName): number {
    return this.#clock.now() - this.#feeds[feed].currentAt;
  }

  /** Whether newer records may have been missed for some time. */
  isStale(feed: FeedName): boolean {
    return this.ageMs(feed) > STALE_AFTER_MS;
  }

  /** Whether the store answered this node's last read of the feed. */
  isReachable(feed: FeedName): boolean {
    return this.#feeds[feed].isReachable;
  }

  /** Time since the last outage of the store; zero during one. */
  sinceOutageMs(feed: FeedName): number {
    const { failingSince, outageEndedAt } = this.#feeds[feed];
    const now = this.#clock.now();
    const isOutage = failingSince !== undefined &&
      now - failingSince >= OUTAGE_MS;
    return isOutage ? 0 : now - outageEndedAt;
  }

  dump(): unknown {
    return Object.fromEntries(FEEDS.map((feed) => [feed, {
      next: this.#feeds[feed].table.next,
      keys: this.#feeds[feed].table.list().length,
      ageMs: Math.round(this.ageMs(feed)),
      isReachable: this.#feeds[feed].isReachable,
    }]));
  }

  /** Announced nodes beyond a few; some of them may be away. */
  #countFurtherNodes(): number {
    return Math.max(0, this.#feeds.nodes.table.list().length - FEW_NODES);
  }

  #waitMs(feed: FeedName): number {
    const { waitMs, perNode } = PLANS[feed];
    return waitMs + perNode.waitMs * this.#countFurtherNodes();
  }

  async #follow(feed: FeedName, signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      const began = this.#clock.now();
      const read = await this.#read(feed, signal);
      if (signal.aborted) {
        return;
      }
      if (read.isErr) {
        failures++;
        this.#noteFailure(feed, began, read.error.message);
        await this.#clock.sleep(this.#drawRetryMs(failures), signal);
        continue;
      }
      failures = 0;
      this.#noteSuccess(feed, began);
      if (read.value > 0) {
        await this.#pause(feed, signal);
      }
    }
  }

  /** Lets records collect, for longer as long as a peer sends what is new. */
  async #pause(feed: FeedName, signal: AbortSignal): Promise<void> {
    const progress = this.#feeds[feed];
    const began = this.#clock.now();
    const isFed = () =>
      !this.#isHurried() &&
      this.#clock.now() - progress.fedAt < FED_VALID_MS &&
      this.#clock.now() - began < FED_READ_MS;
    do {
      await this.#clock.sleep(this.batchDelayMs(feed), signal);
    } while (isFed());
  }

  /** Reads once; the result is the number of records. */
  async #read(
    feed: FeedName,
    signal: AbortSignal,
  ): Promise<Result<number, { message: string }>> {
    const progress = this.#feeds[feed];
    if (!progress.isLoaded) {
      return this.#load(feed, signal);
    }
    const batch = await this.#topics.readFrom(
      feed,
      progress.table.next,
      this.#waitMs(feed),
      signal,
    );
    if (batch.isErr && batch.error.isHistoryLost) {
      progress.isLoaded = false;
      this.#logger.warn("feed_history_lost", {
        feed,
        offset: progress.table.next,
      });
      return this.#load(feed, signal);
    }
    return batch.map((value) => this.#applyBatch(feed, value));
  }

  async #load(
    feed: FeedName,
    signal: AbortSignal,
  ): Promise<Result<number, { message: string }>> {
    const snapshot = await this.#topics.readNewest(feed, signal);
    return snapshot.map(({ records, next }) => {
      this.#apply(feed, (table) => table.applySnapshot(records, next));
      this.#feeds[feed].isLoaded = true;
      return 0;
    });
  }

  #applyBatch(feed: FeedName, { records, next }: Batch): number {
    this.#apply(feed, (table) => table.apply(records, next));
    return records.length;
  }

  #apply(
    feed: FeedName,
    change: (table: RecordTable) => readonly KeyRecord[],
  ): void {
    const progress = this.#feeds[feed];
    const changed = change(progress.table);
    if (changed.length > 0) {
      progress.listeners.forEach((listener) => listener(changed));
    }
  }

  #noteSuccess(feed: FeedName, began: number): void {
    const progress = this.#feeds[feed];
    if (!progress.isReachable) {
      progress.isReachable = true;
      this.#logger.info("dependency_regained", { dependency: "store", feed });
    }
    const now = this.#clock.now();
    if (began - (progress.failingSince ?? began) >= OUTAGE_MS) {
      progress.outageEndedAt = now;
    }
    progress.failingSince = undefined;
    progress.currentAt = Math.max(progress.currentAt, began);
  }

  #noteFailure(feed: FeedName, began: number, error: string): void {
    const progress = this.#feeds[feed];
    progress.failingSince ??= began;
    if (progress.isReachable) {
      progress.isReachable = false;
      this.#logger.warn("dependency_lost", {
        dependency: "store",
        feed,
        error,
        age_ms: Math.round(this.ageMs(feed)),
      });
    }
  }

  /** Half of the pause is random, so that nodes do not return in step. */
  #drawRetryMs(failures: number): number {
    const most = MAX_RETRY_MS +
      MAX_RETRY_MS_PER_NODE * this.#countFurtherNodes();
    const limit = Math.min(most, RETRY_MS * 2 ** (failures - 1));
    return limit * (1 + this.#random.fraction()) / 2;
  }
}

function createProgress(): Progress {
  return {
    table: new RecordTable(),
    listeners: new Set(),
    isLoaded: false,
    currentAt: -Infinity,
    isReachable: false,
    failingSince: -Infinity,
    fedAt: -Infinity,
    outageEndedAt: Infinity,
  };
}
