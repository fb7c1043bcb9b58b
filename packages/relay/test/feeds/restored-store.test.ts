import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { Feeds } from "../../src/feeds/feeds.ts";
import {
  createPosition,
  eraOf,
  type Fault,
  type FeedName,
  type FeedStore,
  type KeyRecord,
  offsetOf,
} from "../../src/index.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const FEED = "configuration";
const POLL_MS = 100;
const REPLY_MS = 2;
const GRACE_MS = 2500;

/** A store of one topic that can be restored from what it held before. */
class RestorableStore implements FeedStore {
  era = 0;
  isUnavailable = false;
  /** Whether no offset is found, whatever the snapshot says. */
  hasNoOffsets = false;
  /** A topic whose reads fail. */
  unavailableFeed: FeedName | undefined;
  snapshotReads = 0;
  #clock: ManualClock;
  #log: KeyRecord[] = [];

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  write(key: string, value?: string): void {
    const offset = createPosition(this.era, this.#log.length);
    this.#log.push({ key, offset, value });
  }

  /** Restores the store from a copy that holds the first `length` records. */
  restore(length: number): void {
    this.era++;
    this.#log = this.#log.slice(0, length).map((record, offset) => ({
      ...record,
      offset: createPosition(this.era, offset),
    }));
  }

  readNewest(feed: FeedName) {
    const log = feed === FEED ? this.#log : [];
    this.snapshotReads += Number(feed === FEED);
    const newest = new Map(log.map((record) => [record.key, record]));
    const records = [...newest.values()]
      .filter(({ value }) => value !== undefined);
    const next = createPosition(this.era, log.length);
    return Promise.resolve(
      this.#answer({ records, next }, feed === this.unavailableFeed),
    );
  }

  async readFrom(feed: FeedName, position: number) {
    if (this.hasNoOffsets) {
      await this.#clock.sleep(REPLY_MS);
      return this.#answer({ records: [], next: position }, true);
    }
    await this.#clock.sleep(POLL_MS);
    const log = feed === FEED ? this.#log : [];
    const records = log.slice(offsetOf(position));
    return this.#answer(
      { records, next: position + records.length },
      eraOf(position) !== this.era,
    );
  }

  announceNode() {
    return Promise.resolve(Result.ok<void, Fault>(undefined));
  }

  #answer<Value>(value: Value, isHistoryLost = false): Result<Value, Fault> {
    return this.isUnavailable || isHistoryLost
      ? Result.err({ verdict: "not-run", message: "failed", isHistoryLost })
      : Result.ok(value);
  }
}

describe("Feeds of a store that is restored from a copy", () => {
  let stop = async () => {};

  afterEach(() => stop());

  async function start(era: number, unavailableFeed?: FeedName) {
    const clock = new ManualClock();
    const store = new RestorableStore(clock);
    store.unavailableFeed = unavailableFeed;
    store.write("old", "1");
    store.write("ended", "1");
    Array.from({ length: era }, () => store.restore(2));
    const lines: string[] = [];
    const log = (event: string) => void lines.push(event);
    const kernel: RelayKernel = new Kernel<RelayServices>();
    kernel
      .provide("clock", [], () => clock)
      .provide("random", [], () => new SeededRandom(1))
      .provide("logger", [], () => ({
        error: log,
        warn: log,
        info: log,
        debug: log,
      }))
      .provide("topics", [], () => store)
      .provide("decoder", [], () => ({ configurationKey() {} }) as never);
    await kernel.start();
    const feeds = new Feeds(kernel);
    feeds.start();
    stop = async () => {
      const stopped = feeds.stop();
      await clock.advance(2 * POLL_MS);
      await stopped;
    };
    await clock.advance(1000);
    const listKeys = () => feeds.table(FEED).list().map(({ key }) => key);
    const countRestores = () =>
      lines.filter((line) => line === "store_restored").length;
    return { clock, store, feeds, listKeys, countRestores };
  }

  /** Starts feeds that have read what the store will lose. */
  async function startBefore() {
    const started = await start(0);
    started.store.write("ended");
    started.store.write("begun", "1");
    await started.clock.advance(1000);
    started.store.snapshotReads = 0;
    return started;
  }

  // Guards against changes that are no news, as their offsets were used before,
  // and against evacuations that end, or begin again, for the seconds until the
  // operator has written them once more.
  it("keep what was lost, and follow what is written then", async () => {
    const { clock, store, listKeys } = await startBefore();
    store.restore(2);
    await clock.advance(500);
    expect(listKeys()).toEqual(["old", "begun"]);
    store.write("new", "1");
    store.write("begun");
    await clock.advance(300);
    expect(listKeys()).toEqual(["old", "new"]);
  });

  // Guards against an evacuation that nobody writes again and that one node
  // keeps for ever, while the next one to start does not know it.
  it("hold what the store holds after the grace", async () => {
    const { clock, store, listKeys } = await startBefore();
    store.restore(2);
    await clock.advance(GRACE_MS - 300);
    expect(listKeys()).toEqual(["old", "begun"]);
    await clock.advance(5000);
    expect(listKeys()).toEqual(["old", "ended"]);
    expect(store.snapshotReads).toBe(2);
  });

  it("wait for a store that is away when the grace ends", async () => {
    const { clock, store, feeds, listKeys } = await startBefore();
    store.restore(2);
    await clock.advance(1000);
    store.isUnavailable = true;
    await clock.advance(GRACE_MS);
    expect(feeds.isConfirmationDue(FEED)).toBe(true);
    expect(listKeys()).toEqual(["old", "begun"]);
    store.isUnavailable = false;
    await clock.advance(1000);
    expect(listKeys()).toEqual(["old", "ended"]);
  });

  it("start the grace again if it is restored once more", async () => {
    const { clock, store, listKeys, countRestores } = await startBefore();
    store.restore(2);
    await clock.advance(1500);
    store.restore(1);
    await clock.advance(GRACE_MS - 300);
    expect(listKeys()).toEqual(["old", "begun"]);
    await clock.advance(1000);
    expect(listKeys()).toEqual(["old"]);
    // Each of the three feeds logs each restore once.
    expect(countRestores()).toBe(6);
  });

  // Guards against groups that are given up, as the restored store does not list
  // their members until these have written again.
  it("report a restore once, and count it as an outage", async () => {
    const { clock, store, feeds } = await startBefore();
    let reported = 0;
    feeds.onRestore(() => reported++);
    await clock.advance(5000);
    store.restore(2);
    await clock.advance(1000);
    expect([reported, feeds.restores]).toEqual([1, 1]);
    expect(feeds.sinceOutageMs("instances")).toBeLessThanOrEqual(1000);
  });

  // Guards against a node whose lost announcement is not written again, as one
  // of its topics was first read after the restore.
  it("report a restore that happens before all topics were read", async () => {
    const { clock, store, feeds } = await start(0, "instances");
    let reported = 0;
    feeds.onRestore(() => reported++);
    store.restore(2);
    store.unavailableFeed = FEED;
    await clock.advance(1000);
    expect(feeds.isReachable("instances")).toBe(true);
    store.unavailableFeed = undefined;
    await clock.advance(1000);
    expect(reported).toBe(1);
  });

  // A node that starts may read the copy before the lost records are back.
  it("are read twice by a node that starts in a later era", async () => {
    const { clock, feeds, countRestores } = await start(1);
    expect([countRestores(), feeds.isUnconfirmed(FEED)]).toEqual([0, true]);
    await clock.advance(GRACE_MS);
    expect(feeds.isUnconfirmed(FEED)).toBe(false);
  });

  it("are confirmed by a peer only if it has confirmed them", async () => {
    const { store, feeds, listKeys } = await startBefore();
    store.isUnavailable = true;
    const next = createPosition(1, 6);
    feeds.applySnapshotFromPeer(FEED, [], next, false);
    feeds.applySnapshotFromPeer(FEED, [], 0, true);
    expect(feeds.isUnconfirmed(FEED)).toBe(true);
    expect(listKeys()).toEqual(["old", "begun"]);
    feeds.applySnapshotFromPeer(FEED, [], next, true);
    expect(feeds.isUnconfirmed(FEED)).toBe(false);
    expect(listKeys()).toEqual([]);
  });

  // Guards against nodes that never read the store themselves.
  it("are read once after the grace if a peer supplies them", async () => {
    const { clock, store, feeds, listKeys } = await startBefore();
    feeds.shareReads({
      isSupplied: () => true,
      countReaders: (announced) => announced,
      getMaxWaitMs: () => Infinity,
    });
    await clock.advance(1000);
    store.snapshotReads = 0;
    store.restore(2);
    feeds.applySnapshotFromPeer(FEED, [], createPosition(1, 2), false);
    await clock.advance(GRACE_MS - 300);
    expect([store.snapshotReads, listKeys()]).toEqual([0, ["old", "begun"]]);
    await clock.advance(5000);
    expect([store.snapshotReads, listKeys()]).toEqual([1, ["old", "ended"]]);
  });

  // Guards against 500 reads a second of every node.
  it("are read with pauses if the store never has the offset", async () => {
    const { clock, store } = await startBefore();
    store.hasNoOffsets = true;
    await clock.advance(2000);
    expect(store.snapshotReads).toBeLessThan(20);
  });
});
