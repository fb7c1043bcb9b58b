import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { RecordTable } from "../../src/feeds/record-table.ts";
import type { KeyRecord, MessageOf } from "../../src/model/peer-message.ts";
import { createPosition } from "../../src/model/store-position.ts";
import { FeedExchange } from "../../src/peers/feed-exchange.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

function createHeartbeat(instances: number): MessageOf<"beat"> {
  return {
    kind: "beat",
    isServing: true,
    holdsPlacement: false,
    seeksPlacement: false,
    capacity: 1,
    offsets: { configuration: 0, instances },
    agesMs: { configuration: 5, instances: 7 },
    outstanding: [],
    harmfulParts: [],
    isUrgent: false,
    forwarded: [],
  };
}

/** Creates the exchange of a node that has read nothing yet. */
async function create() {
  const clock = new ManualClock();
  const feeds = {
    isStoreReachable: true,
    currentAges: [] as number[],
    table: (_feed: string) => table,
    ageMs: () => 3,
    delayMs: 0,
    batchDelayMs: () => feeds.delayMs,
    isReachable: () => feeds.isStoreReachable,
    isPaused: () => false,
    isConfirmationDue: (feed: string) => feeds.dueFeeds.includes(feed),
    isUnconfirmed: (feed: string) => feeds.unconfirmed.includes(feed),
    dueFeeds: [] as string[],
    unconfirmed: [] as string[],
    markUpToDate: (_feed: string, ageMs: number) => {
      feeds.currentAges.push(ageMs);
    },
  };
  const table = new RecordTable();
  const configuration = { newestVersion: undefined as number | undefined };
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silentLogger)
    .provide("configuration", [], () => configuration as never)
    .provide("feeds", [], () => feeds as never);
  await kernel.start();
  const exchange = new FeedExchange(kernel);
  return { clock, feeds, table, configuration, exchange };
}

describe("FeedExchange", () => {
  describe("a peer that has read more", () => {
    it("gets no fetch immediately, as the store returns most changes in time", async () => {
      const { clock, exchange } = await create();
      expect(exchange.listFetches("n-2", createHeartbeat(9))).toEqual([]);
      await clock.advance(250);
      expect(exchange.listFetches("n-2", createHeartbeat(9)))
        .toEqual([{ kind: "fetch", feed: "instances", from: 0 }]);
    });

    it("gets no fetch while this node keeps up with it", async () => {
      const { clock, exchange, table } = await create();
      for (let next = 1; next <= 20; next++) {
        expect(exchange.listFetches("n-2", createHeartbeat(next)))
          .toEqual([]);
        await clock.advance(150);
        table.apply([], next);
      }
    });

    it("gets its fetch later if this node delays its reads", async () => {
      const { clock, feeds, exchange } = await create();
      feeds.delayMs = 400;
      exchange.listFetches("n-2", createHeartbeat(9));
      await clock.advance(450);
      expect(exchange.listFetches("n-2", createHeartbeat(9))).toEqual([]);
      await clock.advance(200);
      expect(exchange.listFetches("n-2", createHeartbeat(9)))
        .toHaveLength(1);
    });

    it("gets no fetch for records that were just requested from another peer", async () => {
      const { clock, feeds, exchange } = await create();
      feeds.isStoreReachable = false;
      await clock.advance(200);
      expect(exchange.listFetches("n-2", createHeartbeat(9)))
        .toHaveLength(1);
      expect(exchange.listFetches("n-3", createHeartbeat(9)))
        .toHaveLength(0);
      await clock.advance(150);
      expect(exchange.listFetches("n-3", createHeartbeat(9)))
        .toHaveLength(1);
    });

    it("gets a fetch immediately while this node's reads fail", async () => {
      const { feeds, exchange } = await create();
      feeds.isStoreReachable = false;
      expect(exchange.listFetches("n-2", createHeartbeat(9)))
        .toHaveLength(1);
    });

    it("gets no immediate fetch after a reconnect", async () => {
      const { clock, exchange } = await create();
      exchange.listFetches("n-2", createHeartbeat(9));
      await clock.advance(250);
      exchange.remove("n-2");
      expect(exchange.listFetches("n-2", createHeartbeat(9))).toEqual([]);
    });
  });

  describe("a peer that has read as much", () => {
    it("confirms that this node is up to date", async () => {
      const { feeds, exchange } = await create();
      exchange.listFetches("n-2", createHeartbeat(0));
      expect(feeds.currentAges).toEqual([5, 7]);
    });
  });

  describe("a peer that asks for the configuration", () => {
    /** Passes the reply of one table to another. */
    async function answer(next: number, records: KeyRecord[], from: number) {
      const { table, exchange } = await create();
      table.applySnapshot(records, next);
      return exchange.answerFetch({
        kind: "fetch",
        feed: "configuration",
        from,
      });
    }

    // Guards against an evacuation that a node keeps for ever, as the peer that
    // it asks has read a snapshot without it and knows no deletion.
    it("learns of deletions that this node has never read", async () => {
      const receiver = new RecordTable();
      receiver.apply([{ key: "evacuate/z1", offset: 5, value: "{}" }], 6);
      const { records, next, isSnapshot } = await answer(10, [], 6);
      expect(isSnapshot).toBe(true);
      expect(receiver.applySnapshot(records, next))
        .toEqual([{ key: "evacuate/z1", offset: 9, value: undefined }]);
    });

    it("gets records from before its own offset too", async () => {
      const record = { key: "config", offset: 2, value: "{}" };
      const { records } = await answer(10, [record], 6);
      expect(records).toEqual([record]);
    });
  });

  describe("after a restore of the store", () => {
    const before = createPosition(0, 90);
    const after = createPosition(1, 50);

    // Guards against a node that takes a position of an earlier era for news, or
    // that misses what was written in a whole era.
    it.each([1, 2])("fetches from the peers of era %i only", async (era) => {
      const { exchange, feeds, table } = await create();
      table.apply([], before);
      feeds.isStoreReachable = false;
      const later = createHeartbeat(createPosition(era, 1));
      expect(exchange.listFetches("n-2", later))
        .toEqual([{ kind: "fetch", feed: "instances", from: before }]);
      table.apply([], createPosition(era, 1));
      expect(exchange.listFetches("n-3", createHeartbeat(before))).toEqual([]);
    });

    // Guards against a node without the store that keeps for ever what the store
    // has lost and nobody has written again.
    it("fetches whole feeds from a peer that is sure of them", async () => {
      const { exchange, feeds, table, clock } = await create();
      table.apply([], after);
      feeds.isStoreReachable = false;
      await clock.advance(2000);
      const sure = createHeartbeat(after);
      expect(exchange.listFetches("n-2", sure)).toEqual([]);
      feeds.dueFeeds = ["instances"];
      const unsure = { ...sure, unconfirmed: ["instances" as const] };
      expect(exchange.listFetches("n-2", unsure)).toEqual([]);
      expect(exchange.listFetches("n-2", createHeartbeat(before))).toEqual([]);
      expect(exchange.listFetches("n-3", sure)).toEqual([
        { kind: "fetch", feed: "instances", from: after, isWhole: true },
      ]);
      expect(exchange.listFetches("n-4", sure)).toEqual([]);
    });

    // Guards against a node without the store that never confirms a topic whose
    // records arrive faster than heartbeats, as its peers are always ahead.
    it("fetches a whole feed although the peer is ahead and records come often", async () => {
      const { exchange, feeds, table, clock } = await create();
      table.apply([], after);
      feeds.isStoreReachable = false;
      feeds.dueFeeds = ["instances"];
      const fetches = [];
      for (let next = after + 1; next <= after + 20; next++) {
        await clock.advance(150);
        fetches.push(...exchange.listFetches("n-2", createHeartbeat(next)));
        table.apply([], next);
      }
      const whole = fetches.filter(({ isWhole }) => isWhole === true);
      expect(whole.length).toBeGreaterThanOrEqual(1);
      expect(whole.length).toBeLessThanOrEqual(3);
    });

    it("says in heartbeats and answers what it is not sure of", async () => {
      const { exchange, feeds } = await create();
      const fetch = { kind: "fetch", feed: "instances", from: 0 } as const;
      expect(exchange.answerFetch({ ...fetch, isWhole: true }))
        .toMatchObject({ isSnapshot: true, isConfirmed: true });
      feeds.unconfirmed = ["instances"];
      expect(exchange.describeProgress().unconfirmed).toEqual(["instances"]);
      expect(exchange.answerFetch(fetch))
        .toMatchObject({ isSnapshot: false, isConfirmed: false });
    });

    describe("a peer with a newer version of the configuration", () => {
      const feed = "configuration";
      const fetch = { kind: "fetch", feed, from: 0, isWhole: true };

      // Guards against a node that keeps serving by the version of the copy, and
      // against whole feeds that are sent in each heartbeat interval.
      it("gets one fetch for it at once in the grace, or after the usual delay", async () => {
        const { clock, feeds, configuration, exchange } = await create();
        configuration.newestVersion = 7;
        expect(exchange.describeProgress().version).toBe(7);
        const compare = async (peer: string, version: number, ms: number) => {
          await clock.advance(ms);
          const heartbeat = { ...createHeartbeat(0), version };
          return exchange.listFetches(peer, heartbeat);
        };
        expect(await compare("n-2", 7, 0)).toEqual([]);
        expect(await compare("n-2", 8, 0)).toEqual([]);
        expect(await compare("n-2", 8, 250)).toEqual([fetch]);
        feeds.unconfirmed = [feed];
        expect(await compare("n-3", 9, 150)).toEqual([fetch]);
        expect(await compare("n-4", 10, 0)).toEqual([]);
        expect(await compare("n-2", 9, 900)).toEqual([]);
        expect(await compare("n-2", 9, 150)).toEqual([fetch]);
      });
    });
  });
});
