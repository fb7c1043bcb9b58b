/**
 * Records that nodes pass on to each other when the store does not give them.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import { type MessageOf, SharedFeed } from "../model/peer-message.ts";
import type { RelayKernel } from "../services.ts";

type Beat = MessageOf<"beat">;

/**
 * This node's own read of the store normally brings a change in this time, after
 * its pause between reads.
 */
const FETCH_AFTER_MS = 200;
/** Peers that know more are asked in turn, as each sends the same records. */
const FETCH_PAUSE_MS = 100;

/** An offset of a peer that this node has not reached. */
interface Ahead {
  readonly offset: number;
  readonly since: number;
}

/** Compares what this node and its peers have read. */
export class FeedExchange {
  #clock: Clock;
  #logger: Logger;
  #feeds: Feeds;
  /** What a peer knew more of a feed than this node, and since when. */
  #behind = new Map<string, Ahead>();
  /** When a peer was last asked for records of a feed. */
  #fetchedAt = new Map<SharedFeed, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#feeds = kernel.find("feeds");
  }

  /** How far this node has read, for its beats. */
  describe(): Pick<Beat, "offsets" | "agesMs"> {
    const offsets = {} as Beat["offsets"];
    const agesMs = {} as Beat["agesMs"];
    for (const feed of SharedFeed.options) {
      offsets[feed] = this.#feeds.table(feed).next;
      agesMs[feed] = Math.min(this.#feeds.ageMs(feed), Number.MAX_SAFE_INTEGER);
    }
    return { offsets, agesMs };
  }

  /** The requests for records that a peer has and the store has not given. */
  compare(peer: string, beat: Beat): MessageOf<"fetch">[] {
    return SharedFeed.options.flatMap((feed) =>
      this.#compareFeed(peer, beat, feed)
    );
  }

  /** The records that a peer asks for. */
  answer({ feed, from }: MessageOf<"fetch">): MessageOf<"records"> {
    const table = this.#feeds.table(feed);
    return {
      kind: "records",
      feed,
      records: table.listFrom(from),
      next: table.next,
    };
  }

  /** Takes the records of a peer. */
  apply(peer: string, { feed, records, next }: MessageOf<"records">): void {
    this.#logger.info("feed_from_peer", {
      feed,
      peer,
      from: this.#feeds.table(feed).next,
      next,
    });
    this.#feeds.applyFromPeer(feed, records, next);
  }

  /** Forgets a peer whose connection has ended. */
  forget(peer: string): void {
    SharedFeed.options.forEach((feed) =>
      this.#behind.delete(createKey(peer, feed))
    );
  }

  #compareFeed(
    peer: string,
    { offsets, agesMs }: Beat,
    feed: SharedFeed,
  ): MessageOf<"fetch">[] {
    const key = createKey(peer, feed);
    const own = this.#feeds.table(feed).next;
    const theirs = offsets[feed];
    if (theirs <= own) {
      this.#behind.delete(key);
      if (theirs === own) {
        this.#feeds.markUpToDate(feed, agesMs[feed]);
      }
      return [];
    }
    const now = this.#clock.now();
    const known = this.#behind.get(key);
    // A peer that reads more often is always a little ahead.
    const lead = known !== undefined && own < known.offset
      ? known
      : { offset: theirs, since: now };
    const isLate = !this.#feeds.isReachable(feed) ||
      now - lead.since >= FETCH_AFTER_MS + this.#feeds.batchDelayMs(feed);
    const fetchedAt = this.#fetchedAt.get(feed) ?? -Infinity;
    const isDue = isLate && now - fetchedAt >= FETCH_PAUSE_MS;
    this.#behind.set(key, isDue ? { offset: theirs, since: now } : lead);
    if (!isDue) {
      return [];
    }
    this.#fetchedAt.set(feed, now);
    return [{ kind: "fetch", feed, from: own }];
  }
}

function createKey(peer: string, feed: SharedFeed): string {
  return `${peer} ${feed}`;
}
