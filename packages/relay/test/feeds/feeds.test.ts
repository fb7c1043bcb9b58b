import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { Feeds } from "../../src/feeds/feeds.ts";
import type {
  Batch,
  Fault,
  FeedName,
  FeedStore,
  Instance,
  RecordDecoder,
  Snapshot,
} from "../../src/index.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const UNAVAILABLE: Fault = { verdict: "not-run", message: "503" };
const EMPTY: Snapshot & Batch = { records: [], next: 0 };
const POLL_MS = 200;

/** Reads values of the form `{"renewal": 3}`, all of one process. */
const decoder: Pick<
  RecordDecoder,
  "instance" | "readRenewalCount" | "removeRenewalCount"
> = {
  instance: (id) => Result.ok({ id, bornAt: 1 } as Instance),
  readRenewalCount: (value) => JSON.parse(value).renewal ?? 0,
  removeRenewalCount: () => "",
};

/** A store whose reads fail while `isUnavailable` is set. */
class SwitchableStore implements FeedStore {
  era = 0;
  isUnavailable = false;
  /** Announced nodes. */
  nodes = 0;
  /** Whether each read of the instances returns a record. */
  hasInstanceRecords = false;
  instanceReads = 0;
  #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  readNewest(feed: FeedName): Promise<Result<Snapshot, Fault>> {
    const records = Array.from(
      { length: feed === "nodes" ? this.nodes : 0 },
      (_, offset) => ({ key: `n-${offset}`, offset, value: "{}" }),
    );
    return Promise.resolve(
      this.#answer().map(() => ({ records, next: records.length })),
    );
  }

  async readFrom(
    feed: FeedName,
    offset: number,
  ): Promise<Result<Batch, Fault>> {
    if (feed === "instances" && this.hasInstanceRecords) {
      this.instanceReads++;
      const record = { key: "i-1", offset, value: "{}" };
      return Result.ok({ records: [record], next: offset + 1 });
    }
    if (!this.isUnavailable) {
      await this.#clock.sleep(POLL_MS);
    }
    return this.#answer();
  }

  announceNode(): Promise<Result<void, Fault>> {
    return Promise.resolve(Result.ok(undefined));
  }

  #answer(): Result<Snapshot & Batch, Fault> {
    return this.isUnavailable ? Result.err(UNAVAILABLE) : Result.ok(EMPTY);
  }
}

async function start(isUnavailable = false) {
  const clock = new ManualClock();
  const store = new SwitchableStore(clock);
  store.isUnavailable = isUnavailable;
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("random", [], () => new SeededRandom(1))
    .provide("logger", [], () => silentLogger)
    .provide("topics", [], () => store)
    .provide("decoder", [], () => decoder as never);
  await kernel.start();
  const feeds = new Feeds(kernel);
  feeds.start();
  return { clock, store, feeds };
}

describe("Feeds", () => {
  let stop = async () => {};

  afterEach(() => stop());

  async function startFeeds(isUnavailable = false) {
    const started = await start(isUnavailable);
    stop = async () => {
      const stopped = started.feeds.stop();
      await started.clock.advance(POLL_MS);
      await stopped;
    };
    return started;
  }

  // Guards against members of open groups that looked free, as the store had
  // carried out an old write after newer ones.
  describe("an entry that the store holds after a newer one", () => {
    const newer = { key: "i-1", offset: 5, value: '{"renewal":9}' };
    const older = { key: "i-1", offset: 8, value: '{"renewal":7}' };
    const paths: readonly (readonly [string, (feeds: Feeds) => void])[] = [
      ["from a peer", (feeds) => {
        feeds.applyFromPeer("instances", [older], 9);
      }],
      ["in an update of the holder", (feeds) => {
        feeds.applyUpdate("instances", [older], 9);
      }],
      ["in a snapshot", (feeds) => {
        feeds.table("instances").applySnapshot([older], 9);
      }],
      ["in a batch of the store", (feeds) => {
        feeds.table("instances").apply([older], 9);
      }],
    ];

    it.each(paths)("does not replace it: %s", async (_path, apply) => {
      const { feeds } = await startFeeds();
      feeds.applyUpdate("instances", [newer], 6);
      apply(feeds);
      const table = feeds.table("instances");
      expect(table.list().map(({ value }) => value)).toEqual([newer.value]);
      expect(table.next).toBe(9);
    });

    it("is not what peers get that have read up to it", async () => {
      const { feeds } = await startFeeds();
      feeds.applyUpdate("instances", [newer], 6);
      feeds.applyUpdate("instances", [older], 9);
      expect(feeds.table("instances").listFrom(6)).toEqual([
        { ...newer, offset: older.offset },
      ]);
    });

    it("does not bring back a deleted one", async () => {
      const { feeds } = await startFeeds();
      feeds.applyUpdate("instances", [newer], 6);
      feeds.applyUpdate("instances", [{ key: "i-1", offset: 7 }], 8);
      feeds.applyUpdate("instances", [older], 9);
      expect(feeds.table("instances").list()).toEqual([]);
      const renewed = { key: "i-1", offset: 10, value: '{"renewal":10}' };
      feeds.applyUpdate("instances", [renewed], 11);
      expect(feeds.table("instances").list()).toEqual([renewed]);
    });
  });

  describe("the read rate", () => {
    /** Reads of the instances in 2.4 s if each returns a record. */
    async function countReads(nodes: number, isAtFullRate: boolean) {
      const { clock, store, feeds } = await startFeeds();
      feeds.readAtFullRateWhile(() => isAtFullRate);
      store.nodes = nodes;
      store.hasInstanceRecords = true;
      feeds.applyFromPeer("nodes", [], 1);
      await clock.advance(1000);
      store.instanceReads = 0;
      await clock.advance(2400);
      return store.instanceReads;
    }

    it("of all nodes together does not rise with their number", async () => {
      expect(await countReads(4, false)).toBe(40);
      await stop();
      expect(await countReads(32, false)).toBe(4);
    });

    it("is the full rate on a node whose orders depend on it", async () => {
      expect(await countReads(32, true)).toBe(40);
    });
  });

  describe("a node that receives updates from a peer", () => {
    async function startUpdated() {
      const started = await startFeeds();
      started.store.hasInstanceRecords = true;
      await started.clock.advance(1000);
      return started;
    }

    /** Reads of the instances in 9 s with an update at each interval. */
    async function countReads(
      { clock, store, feeds }: Awaited<ReturnType<typeof startUpdated>>,
      intervalMs: number,
    ) {
      store.instanceReads = 0;
      for (let elapsedMs = 0; elapsedMs < 9000; elapsedMs += intervalMs) {
        feeds.applyUpdate("instances", [], feeds.table("instances").next + 1);
        await clock.advance(intervalMs);
      }
      return store.instanceReads;
    }

    it("reads the store occasionally, as peers may miss a change", async () => {
      const started = await startUpdated();
      const reads = await countReads(started, 300);
      expect(reads).toBeGreaterThanOrEqual(2);
      expect(reads).toBeLessThanOrEqual(4);
    });

    it("reads at its own rate again a second after the last update", async () => {
      const started = await startUpdated();
      await countReads(started, 300);
      const { clock, store } = started;
      await clock.advance(1000);
      store.instanceReads = 0;
      await clock.advance(600);
      expect(store.instanceReads).toBe(10);
    });

    it("reads at the full rate if its orders depend on it", async () => {
      const started = await startUpdated();
      started.feeds.readAtFullRateWhile(() => true);
      expect(await countReads(started, 300)).toBeGreaterThan(100);
    });

    it("does not count the delay between its reads as an outage", async () => {
      const started = await startUpdated();
      await countReads(started, 300);
      expect(started.feeds.sinceOutageMs("instances")).toBeGreaterThan(9000);
    });
  });

  describe("a feed that a peer supplies", () => {
    async function startSupplied() {
      const started = await startFeeds();
      const supply = { isActive: false };
      started.feeds.shareReads({
        isSupplied: () => supply.isActive,
        countReaders: (announced) => announced,
        getMaxWaitMs: () => Infinity,
      });
      started.store.hasInstanceRecords = true;
      await started.clock.advance(1000);
      supply.isActive = true;
      await started.clock.advance(200);
      started.store.instanceReads = 0;
      return { ...started, supply };
    }

    it("is not read from the store", async () => {
      const { clock, store } = await startSupplied();
      await clock.advance(5000);
      expect(store.instanceReads).toBe(0);
    });

    it("is read again soon after the peer has stopped", async () => {
      const { clock, store, supply } = await startSupplied();
      await clock.advance(2000);
      supply.isActive = false;
      await clock.advance(400);
      expect(store.instanceReads).toBeGreaterThan(0);
    });

    it("is read on a node whose orders depend on it", async () => {
      const { clock, store, feeds } = await startSupplied();
      feeds.readAtFullRateWhile(() => true);
      await clock.advance(1000);
      expect(store.instanceReads).toBeGreaterThan(10);
    });

    it("may have missed an outage meanwhile", async () => {
      const { clock, feeds, supply } = await startSupplied();
      await clock.advance(5000);
      supply.isActive = false;
      await clock.advance(400);
      expect(feeds.sinceOutageMs("instances")).toBeLessThan(500);
    });
  });

  describe("time since the last outage", () => {
    it("continues through a short failure, in which no entry can expire", async () => {
      const { clock, store, feeds } = await startFeeds();
      await clock.advance(5000);
      store.isUnavailable = true;
      await clock.advance(600);
      store.isUnavailable = false;
      await clock.advance(1000);
      expect(feeds.isReachable("instances")).toBe(true);
      expect(feeds.sinceOutageMs("instances")).toBeGreaterThan(6000);
    });

    it("restarts after a longer failure", async () => {
      const { clock, store, feeds } = await startFeeds();
      await clock.advance(5000);
      store.isUnavailable = true;
      await clock.advance(2500);
      store.isUnavailable = false;
      await clock.advance(1500);
      expect(feeds.sinceOutageMs("instances")).toBeLessThan(1501);
    });

    it("is zero while the store is unavailable", async () => {
      const { clock, store, feeds } = await startFeeds();
      await clock.advance(5000);
      store.isUnavailable = true;
      await clock.advance(1500);
      expect(feeds.sinceOutageMs("instances")).toBe(0);
    });

    it("is zero until the first read, as an outage may have preceded it", async () => {
      const { clock, store, feeds } = await startFeeds(true);
      await clock.advance(400);
      expect(feeds.sinceOutageMs("instances")).toBe(0);
      store.isUnavailable = false;
      await clock.advance(1500);
      expect(feeds.sinceOutageMs("instances")).toBeLessThan(1501);
    });
  });
});
