/**
 * The pace at which a node reads the topics of the store.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import type { FeedName } from "../adapter.ts";
import type { SharedFeed } from "../model/peer-message.ts";

/** The times between the reads of a topic. */
interface ReadSchedule {
  /** The store may hold a read open until a record arrives, up to this time. */
  readonly waitMs: number;
  /** Delay after a read with records, so that the next one returns several. */
  readonly batchDelayMs: number;
  /** Added to both for each node above `FULL_RATE_NODES`. */
  readonly perNode: {
    /** Peers supply the records that a silent connection hides meanwhile. */
    readonly waitMs: number;
    /** Limits all nodes together to about 50 reads a second. */
    readonly batchDelayMs: number;
  };
}

/**
 * A longer wait hides a silent connection for longer; a shorter one takes more
 * calls. Changes must be in force within 2 s of their confirmation.
 */
const READ_SCHEDULES: Readonly<Record<FeedName, ReadSchedule>> = {
  configuration: {
    waitMs: 1200,
    batchDelayMs: 20,
    perNode: { waitMs: 45, batchDelayMs: 0 },
  },
  instances: {
    waitMs: 1200,
    batchDelayMs: 60,
    perNode: { waitMs: 0, batchDelayMs: 20 },
  },
  nodes: {
    waitMs: 5000,
    batchDelayMs: 200,
    perNode: { waitMs: 100, batchDelayMs: 10 },
  },
};
/** Up to this number of nodes, each reads at the full rate. */
const FULL_RATE_NODES = 4;
const RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 700;
/** A node whose reads fail receives records from its peers meanwhile. */
const MAX_RETRY_DELAY_MS_PER_NODE = 45;
/**
 * After a restore, every node reads the whole topics once more. Limits all nodes
 * together to about 200 such reads a second.
 */
const CONFIRMATION_DELAY_MS_PER_NODE = 15;
/** The part of this node in the reads of the store. */
export interface ReadSharing {
  /** Whether a peer supplies the feed, so that this node does not read it. */
  isSupplied(feed: SharedFeed): boolean;
  /** Returns how many of the announced nodes read as often as this one. */
  countReaders(announced: number): number;
  /** The longest time that the store may hold a read of a feed open. */
  getMaxWaitMs(feed: FeedName): number;
}

/** Limits the reads of all nodes together. */
export class ReadPace {
  #random: Random;
  #countAnnounced: () => number;
  #isFullRateRequired = () => false;
  #sharing: ReadSharing = {
    isSupplied: () => false,
    countReaders: (announced) => announced,
    getMaxWaitMs: () => Infinity,
  };

  /** `countAnnounced` counts the announced nodes; some may be offline. */
  constructor(random: Random, countAnnounced: () => number) {
    this.#random = random;
    this.#countAnnounced = countAnnounced;
  }

  /** Sets when this node reads at the full rate for any number of nodes. */
  readAtFullRateWhile(isRequired: () => boolean): void {
    this.#isFullRateRequired = isRequired;
  }

  /** Sets how the nodes share the reads. */
  share(sharing: ReadSharing): void {
    this.#sharing = sharing;
  }

  get isAtFullRate(): boolean {
    return this.#isFullRateRequired();
  }

  /** Whether a peer supplies a feed, so that this node does not read it. */
  isSupplied(feed: FeedName): boolean {
    return feed !== "nodes" && !this.isAtFullRate &&
      this.#sharing.isSupplied(feed);
  }

  /** The delay between two reads that return records. */
  batchDelayMs(feed: FeedName): number {
    const { batchDelayMs, perNode } = READ_SCHEDULES[feed];
    return this.isAtFullRate
      ? batchDelayMs
      : batchDelayMs + perNode.batchDelayMs * this.#countExtraNodes();
  }

  /** The time for which the store may hold a read open. */
  waitMs(feed: FeedName): number {
    const { waitMs, perNode } = READ_SCHEDULES[feed];
    return Math.min(
      waitMs + perNode.waitMs * this.#countExtraNodes(),
      this.#sharing.getMaxWaitMs(feed),
    );
  }

  /** Half of the delay is random, so that nodes do not retry in step. */
  drawRetryDelayMs(failures: number): number {
    const maxMs = MAX_RETRY_DELAY_MS +
      MAX_RETRY_DELAY_MS_PER_NODE * this.#countExtraNodes();
    const delayMs = Math.min(maxMs, RETRY_DELAY_MS * 2 ** (failures - 1));
    return delayMs * (1 + this.#random.fraction()) / 2;
  }

  /** A random delay, so that nodes do not all read whole topics at once. */
  drawConfirmationDelayMs(): number {
    return this.isAtFullRate
      ? 0
      : CONFIRMATION_DELAY_MS_PER_NODE * this.#countExtraNodes() *
        this.#random.fraction();
  }

  /** Nodes above `FULL_RATE_NODES` that read the store. */
  #countExtraNodes(): number {
    const readers = this.#sharing.countReaders(this.#countAnnounced());
    return Math.max(0, readers - FULL_RATE_NODES);
  }
}
