/**
 * Exchange of records between nodes when the store does not supply them.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import { type MessageOf, SharedFeed } from "../model/peer-message.ts";
import { eraOf, offsetOf } from "../model/store-position.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RelayKernel } from "../services.ts";

type Heartbeat = MessageOf<"beat">;

/**
 * Within this time after the delay between reads, this node normally reads a
 * change from the store itself.
 */
const FETCH_DELAY_MS = 200;
/** Minimum time between two fetches, as each peer sends the same records. */
const MIN_FETCH_INTERVAL_MS = 100;
/** Minimum time between two fetches of a whole feed after a restore. */
const MIN_WHOLE_FETCH_INTERVAL_MS = 1000;

/**
 * Feeds that are sent whole. A node that has read a snapshot does not know the
 * deletions before it, and a node that missed one would keep an evacuation that
 * has ended for as long as it does not reach the store.
 */
const SNAPSHOT_FEEDS: ReadonlySet<SharedFeed> = new Set(["configuration"]);

/** A position of a peer that this node has not reached yet. */
interface Lag {
  readonly position: number;
  readonly since: number;
}

/** The version of the configuration that was last requested from a peer. */
interface VersionRequest {
  readonly version: number;
  readonly sentAt: number;
}

/** The ages of a peer's feeds, by its last heartbeat. */
interface Report {
  readonly agesMs: Heartbeat["agesMs"];
  readonly receivedAt: number;
}

/** Compares the positions of this node and its peers, and transfers records. */
export class FeedExchange {
  #clock: Clock;
  #logger: Logger;
  #feeds: Feeds;
  #configuration: CurrentConfiguration;
  /** How far this node is behind a peer, by peer and feed. */
  #lags = new Map<string, Lag>();
  #reports = new Map<string, Report>();
  /** When records of a feed were last requested from a peer. */
  #fetchedAt = new Map<SharedFeed, number>();
  /** When a whole feed was last requested after a restore. */
  #wholeFetchedAt = new Map<SharedFeed, number>();
  /** Since when a peer has reported a newer configuration without a lag. */
  #outdatedSince = new Map<string, number>();
  #versionRequest: VersionRequest | undefined;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#feeds = kernel.find("feeds");
    this.#configuration = kernel.find("configuration");
  }

  /** The positions and ages of this node's feeds, for its heartbeats. */
  describeProgress(): Pick<
    Heartbeat,
    "offsets" | "agesMs" | "version" | "unconfirmed"
  > {
    const offsets = {} as Heartbeat["offsets"];
    const agesMs = {} as Heartbeat["agesMs"];
    for (const feed of SharedFeed.options) {
      offsets[feed] = this.#feeds.table(feed).next;
      agesMs[feed] = Math.min(this.#feeds.ageMs(feed), Number.MAX_SAFE_INTEGER);
    }
    const unconfirmed = SharedFeed.options.filter((feed) =>
      this.#feeds.isUnconfirmed(feed)
    );
    const version = this.#configuration.newestVersion;
    return {
      offsets,
      agesMs,
      ...(version === undefined ? {} : { version }),
      ...(unconfirmed.length === 0 ? {} : { unconfirmed }),
    };
  }

  /** Creates fetches for a peer's records that the store has not returned. */
  listFetches(peer: string, heartbeat: Heartbeat): MessageOf<"fetch">[] {
    this.#reports.set(peer, {
      agesMs: heartbeat.agesMs,
      receivedAt: this.#clock.now(),
    });
    return [
      ...SharedFeed.options.flatMap((feed) =>
        this.#compareFeed(peer, heartbeat, feed)
      ),
      ...this.#compareVersion(peer, heartbeat),
    ];
  }

  /**
   * Time since a peer, by its last heartbeat, knew that its feed was complete;
   * infinite without a heartbeat.
   */
  suppliedAgeMs(peer: string, feed: SharedFeed): number {
    const report = this.#reports.get(peer);
    return report === undefined
      ? Infinity
      : report.agesMs[feed] + this.#clock.now() - report.receivedAt;
  }

  /** The reply to a peer's fetch. */
  answerFetch(
    { feed, from, isWhole = false }: MessageOf<"fetch">,
  ): MessageOf<"records"> {
    const table = this.#feeds.table(feed);
    const isSnapshot = isWhole || SNAPSHOT_FEEDS.has(feed);
    return {
      kind: "records",
      feed,
      records: isSnapshot ? table.list() : table.listFrom(from),
      next: table.next,
      isSnapshot,
      isConfirmed: !this.#feeds.isUnconfirmed(feed),
    };
  }

  /** Applies the records that a peer sent. */
  applyRecords(
    peer: string,
    { feed, records, next, isSnapshot, isConfirmed }: MessageOf<"records">,
  ): void {
    this.#logger.info("feed_from_peer", {
      feed,
      peer,
      from: offsetOf(this.#feeds.table(feed).next),
      next: offsetOf(next),
      era: eraOf(next),
      is_confirmed: isConfirmed,
    });
    if (isSnapshot) {
      this.#feeds.applySnapshotFromPeer(feed, records, next, isConfirmed);
    } else {
      this.#feeds.applyFromPeer(feed, records, next);
    }
  }

  /** Removes a peer whose connection has ended. */
  remove(peer: string): void {
    this.#reports.delete(peer);
    this.#outdatedSince.delete(peer);
    SharedFeed.options.forEach((feed) =>
      this.#lags.delete(createKey(peer, feed))
    );
  }

  #compareFeed(
    peer: string,
    { offsets, agesMs, unconfirmed }: Heartbeat,
    feed: SharedFeed,
  ): MessageOf<"fetch">[] {
    const key = createKey(peer, feed);
    const ownNext = this.#feeds.table(feed).next;
    const peerNext = offsets[feed];
    const canConfirm = eraOf(peerNext) === eraOf(ownNext) &&
      !unconfirmed?.includes(feed);
    // A peer is nearly always ahead in a topic whose records come often.
    const wholeFetches = canConfirm
      ? this.#listConfirmingFetches(feed, ownNext)
      : [];
    if (peerNext <= ownNext) {
      this.#lags.delete(key);
      if (peerNext === ownNext) {
        this.#feeds.markUpToDate(feed, agesMs[feed]);
      }
    }
    if (peerNext <= ownNext || wholeFetches.length > 0) {
      return wholeFetches;
    }
    const now = this.#clock.now();
    const known = this.#lags.get(key);
    // Reaching a known position restarts the timing, as a peer that reads more
    // often is always slightly ahead.
    const lag = known !== undefined && ownNext < known.position
      ? known
      : { position: peerNext, since: now };
    const isLate = !this.#feeds.isReachable(feed) ||
      this.#feeds.isPaused(feed) ||
      now - lag.since >= FETCH_DELAY_MS + this.#feeds.batchDelayMs(feed);
    const fetchedAt = this.#fetchedAt.get(feed) ?? -Infinity;
    const isDue = isLate && now - fetchedAt >= MIN_FETCH_INTERVAL_MS;
    this.#lags.set(key, isDue ? { position: peerNext, since: now } : lag);
    if (!isDue) {
      return [];
    }
    this.#fetchedAt.set(feed, now);
    return [{ kind: "fetch", feed, from: ownNext }];
  }

  /**
   * Fetches the configuration feed from a peer that knows a newer version,
   * although this node has read as far. The store may have been restored from a
   * copy that holds an older version, which is all that a node reads that has
   * started since.
   */
  #compareVersion(
    peer: string,
    { offsets, version = -Infinity }: Heartbeat,
  ): MessageOf<"fetch">[] {
    const feed = "configuration";
    const from = this.#feeds.table(feed).next;
    const known = this.#configuration.newestVersion ?? -Infinity;
    if (version <= known || offsets[feed] > from) {
      this.#outdatedSince.delete(peer);
      return [];
    }
    const now = this.#clock.now();
    const since = this.#outdatedSince.get(peer) ?? now;
    this.#outdatedSince.set(peer, since);
    const isLate = this.#feeds.isUnconfirmed(feed) ||
      now - since >= FETCH_DELAY_MS + this.#feeds.batchDelayMs(feed);
    if (!isLate || !this.#canRequest(version, now)) {
      return [];
    }
    this.#fetchedAt.set(feed, now);
    this.#versionRequest = { version, sentAt: now };
    return [{ kind: "fetch", feed, from, isWhole: true }];
  }

  /** Whether a version may be requested; the same one only after a while. */
  #canRequest(version: number, now: number): boolean {
    const last = this.#versionRequest;
    const fetchedAt = this.#fetchedAt.get("configuration") ?? -Infinity;
    return now - fetchedAt >= MIN_FETCH_INTERVAL_MS &&
      (last === undefined || version > last.version ||
        now - last.sentAt >= MIN_WHOLE_FETCH_INTERVAL_MS);
  }

  /**
   * Fetches a whole feed that has to be read again after a restore, if this node
   * does not reach the store.
   */
  #listConfirmingFetches(
    feed: SharedFeed,
    from: number,
  ): MessageOf<"fetch">[] {
    const now = this.#clock.now();
    const fetchedAt = this.#wholeFetchedAt.get(feed) ?? -Infinity;
    const isDue = this.#feeds.isConfirmationDue(feed) &&
      !this.#feeds.isReachable(feed) &&
      now - fetchedAt >= MIN_WHOLE_FETCH_INTERVAL_MS;
    if (!isDue) {
      return [];
    }
    this.#wholeFetchedAt.set(feed, now);
    return [{ kind: "fetch", feed, from, isWhole: true }];
  }
}

function createKey(peer: string, feed: SharedFeed): string {
  return `${peer} ${feed}`;
}
