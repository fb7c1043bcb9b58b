import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { Feeds } from "../../src/feeds/feeds.ts";
import type {
  Batch,
  Fault,
  FeedName,
  FeedStore,
  Snapshot,
} from "../../src/index.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const AWAY: Fault = { verdict: "not-run", message: "503" };
const EMPTY: Snapshot & Batch = { records: [], next: 0 };
const POLL_MS = 200;

/** A store that turns reads away for as long as the test says. */
class SwitchedTopics implements FeedStore {
  isAway = false;
  /** Announced nodes. */
  nodes = 0;
  /** Whether each read of the instances brings a record. */
  isBusy = false;
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
    if (feed === "instances" && this.isBusy) {
      this.instanceReads++;
      const record = { key: "i-1", offset, value: "{}" };
      return Result.ok({ records: [record], next: offset + 1 });
    }
    if (!this.isAway) {
      await this.#clock.sleep(POLL_MS);
    }
    return this.#answer();
  }

  announceNode(): Promise<Result<void, Fault>> {
    return Promise.resolve(Result.ok(undefined));
  }

  #answer(): Result<Snapshot & Batch, Fault> {
    return this.isAway ? Result.err(AWAY) : Result.ok(EMPTY);
  }
}

async function start(isAway = false) {
  const clock = new ManualClock();
  const topics = new SwitchedTopics(clock);
  topics.isAway = isAway;
  const silent = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("random", [], () => new SeededRandom(1))
    .provide("logger", [], () => silent)
    .provide("topics", [], () => topics);
  await kernel.start();
  const feeds = new Feeds(kernel);
  feeds.start();
  return { clock, topics, feeds };
}

describe("Feeds", () => {
  let stop = async () => {};

  afterEach(() => stop());

  async function startFeeds(isAway = false) {
    const started = await start(isAway);
    stop = async () => {
      const stopped = started.feeds.stop();
      await started.clock.advance(POLL_MS);
      await stopped;
    };
    return started;
  }

  describe("pace of reads", () => {
    /** Reads of the instances in a second that brings a record each time. */
    async function countReads(nodes: number, isHurried: boolean) {
      const { clock, topics, feeds } = await startFeeds();
      feeds.readAtFullRateWhile(() => isHurried);
      topics.nodes = nodes;
      topics.isBusy = true;
      feeds.applyFromPeer("nodes", [], 1);
      await clock.advance(1000);
      topics.instanceReads = 0;
      await clock.advance(2400);
      return topics.instanceReads;
    }

    it("does not rise over all nodes with their number", async () => {
      expect(await countReads(4, false)).toBe(40);
      await stop();
      expect(await countReads(32, false)).toBe(4);
    });

    it("is that of few nodes where orders depend on it", async () => {
      expect(await countReads(32, true)).toBe(40);
    });
  });

  describe("a node that hears what is new from a peer", () => {
    async function startFed() {
      const started = await startFeeds();
      started.topics.isBusy = true;
      await started.clock.advance(1000);
      return started;
    }

    /** Reads of the instances in some time with news at an interval. */
    async function countReads(
      { clock, topics, feeds }: Awaited<ReturnType<typeof startFed>>,
      newsMs: number,
    ) {
      topics.instanceReads = 0;
      for (let passedMs = 0; passedMs < 9000; passedMs += newsMs) {
        feeds.applyUpdate("instances", [], feeds.table("instances").next + 1);
        await clock.advance(newsMs);
      }
      return topics.instanceReads;
    }

    it("reads the store now and then, as peers may miss a change", async () => {
      const started = await startFed();
      const reads = await countReads(started, 300);
      expect(reads).toBeGreaterThanOrEqual(2);
      expect(reads).toBeLessThanOrEqual(4);
    });

    it("reads at its own pace again a second after the last news", async () => {
      const started = await startFed();
      await countReads(started, 300);
      const { clock, topics } = started;
      await clock.advance(1000);
      topics.instanceReads = 0;
      await clock.advance(600);
      expect(topics.instanceReads).toBe(10);
    });

    it("reads at its own pace where orders depend on it", async () => {
      const started = await startFed();
      started.feeds.readAtFullRateWhile(() => true);
      expect(await countReads(started, 300)).toBeGreaterThan(100);
    });

    it("does not take its own pause for an outage", async () => {
      const started = await startFed();
      await countReads(started, 300);
      expect(started.feeds.sinceOutageMs("instances")).toBeGreaterThan(9000);
    });
  });

  describe("time since the last outage", () => {
    it("goes on over a failed read, which lets no entry lapse", async () => {
      const { clock, topics, feeds } = await startFeeds();
      await clock.advance(5000);
      topics.isAway = true;
      await clock.advance(600);
      topics.isAway = false;
      await clock.advance(1000);
      expect(feeds.isReachable("instances")).toBe(true);
      expect(feeds.sinceOutageMs("instances")).toBeGreaterThan(6000);
    });

    it("begins anew after reads that failed for longer", async () => {
      const { clock, topics, feeds } = await startFeeds();
      await clock.advance(5000);
      topics.isAway = true;
      await clock.advance(2500);
      topics.isAway = false;
      await clock.advance(1500);
      expect(feeds.sinceOutageMs("instances")).toBeLessThan(1501);
    });

    it("is zero while the store stays away", async () => {
      const { clock, topics, feeds } = await startFeeds();
      await clock.advance(5000);
      topics.isAway = true;
      await clock.advance(1500);
      expect(feeds.sinceOutageMs("instances")).toBe(0);
    });

    it("is zero until the first read, as an outage may have gone before", async () => {
      const { clock, topics, feeds } = await startFeeds(true);
      await clock.advance(400);
      expect(feeds.sinceOutageMs("instances")).toBe(0);
      topics.isAway = false;
      await clock.advance(1500);
      expect(feeds.sinceOutageMs("instances")).toBeLessThan(1501);
    });
  });
});
