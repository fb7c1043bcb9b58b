import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { Feeds } from "../../src/feeds/feeds.ts";
import type { Batch, Fault, Snapshot, Topics } from "../../src/index.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const AWAY: Fault = { verdict: "not-run", message: "503" };
const EMPTY: Snapshot & Batch = { records: [], next: 0 };
const POLL_MS = 200;

/** A store that turns reads away for as long as the test says. */
class SwitchedTopics implements Topics {
  isAway = false;
  #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  readNewest(): Promise<Result<Snapshot, Fault>> {
    return Promise.resolve(this.#answer());
  }

  async readFrom(): Promise<Result<Batch, Fault>> {
    if (!this.isAway) {
      await this.#clock.sleep(POLL_MS);
    }
    return this.#answer();
  }

  writeNode(): Promise<Result<void, Fault>> {
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

  describe("time since the last outage", () => {
    it("goes on over a failed read, which lets no entry lapse", async () => {
      const { clock, topics, feeds } = await startFeeds();
      await clock.advance(5000);
      topics.isAway = true;
      await clock.advance(600);
      topics.isAway = false;
      await clock.advance(1000);
      expect(feeds.isReachable("instances")).toBe(true);
      expect(feeds.reachableMs("instances")).toBeGreaterThan(6000);
    });

    it("begins anew after reads that failed for longer", async () => {
      const { clock, topics, feeds } = await startFeeds();
      await clock.advance(5000);
      topics.isAway = true;
      await clock.advance(2500);
      topics.isAway = false;
      await clock.advance(1500);
      expect(feeds.reachableMs("instances")).toBeLessThan(1501);
    });

    it("is zero while the store stays away", async () => {
      const { clock, topics, feeds } = await startFeeds();
      await clock.advance(5000);
      topics.isAway = true;
      await clock.advance(1500);
      expect(feeds.reachableMs("instances")).toBe(0);
    });

    it("is zero until the first read, as an outage may have gone before", async () => {
      const { clock, topics, feeds } = await startFeeds(true);
      await clock.advance(400);
      expect(feeds.reachableMs("instances")).toBe(0);
      topics.isAway = false;
      await clock.advance(1500);
      expect(feeds.reachableMs("instances")).toBeLessThan(1501);
    });
  });
});
