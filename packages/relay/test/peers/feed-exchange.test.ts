import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { RecordTable } from "../../src/feeds/record-table.ts";
import type { MessageOf } from "../../src/model/peer-message.ts";
import { FeedExchange } from "../../src/peers/feed-exchange.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

function createBeat(instances: number): MessageOf<"beat"> {
  return {
    kind: "beat",
    isServing: true,
    holdsPlacement: false,
    seeksPlacement: false,
    capacity: 1,
    offsets: { configuration: 0, instances },
    agesMs: { configuration: 5, instances: 7 },
    outstanding: [],
  };
}

/** An exchange of a node that has read nothing yet. */
async function create() {
  const clock = new ManualClock();
  const feeds = {
    isStoreReachable: true,
    currentAges: [] as number[],
    table: (_feed: string) => table,
    ageMs: () => 3,
    pauseMs: 0,
    batchDelayMs: () => feeds.pauseMs,
    isReachable: () => feeds.isStoreReachable,
    markUpToDate: (_feed: string, ageMs: number) => {
      feeds.currentAges.push(ageMs);
    },
  };
  const table = new RecordTable();
  const silent = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silent)
    .provide("feeds", [], () => feeds as never);
  await kernel.start();
  return { clock, feeds, table, exchange: new FeedExchange(kernel) };
}

describe("FeedExchange", () => {
  describe("a peer that has read more", () => {
    it("is not asked at once, as the store brings most changes itself", async () => {
      const { clock, exchange } = await create();
      expect(exchange.compare("n-2", createBeat(9))).toEqual([]);
      await clock.advance(250);
      expect(exchange.compare("n-2", createBeat(9)))
        .toEqual([{ kind: "fetch", feed: "instances", from: 0 }]);
    });

    it("is not asked while this node keeps up with it", async () => {
      const { clock, exchange, table } = await create();
      for (let next = 1; next <= 20; next++) {
        expect(exchange.compare("n-2", createBeat(next))).toEqual([]);
        await clock.advance(150);
        table.apply([], next);
      }
    });

    it("is waited for longer where this node pauses between reads", async () => {
      const { clock, feeds, exchange } = await create();
      feeds.pauseMs = 400;
      exchange.compare("n-2", createBeat(9));
      await clock.advance(450);
      expect(exchange.compare("n-2", createBeat(9))).toEqual([]);
      await clock.advance(200);
      expect(exchange.compare("n-2", createBeat(9))).toHaveLength(1);
    });

    it("is not asked for what another peer was just asked for", async () => {
      const { clock, feeds, exchange } = await create();
      feeds.isStoreReachable = false;
      await clock.advance(200);
      expect(exchange.compare("n-2", createBeat(9))).toHaveLength(1);
      expect(exchange.compare("n-3", createBeat(9))).toHaveLength(0);
      await clock.advance(150);
      expect(exchange.compare("n-3", createBeat(9))).toHaveLength(1);
    });

    it("is asked at once while the store turns this node away", async () => {
      const { feeds, exchange } = await create();
      feeds.isStoreReachable = false;
      expect(exchange.compare("n-2", createBeat(9))).toHaveLength(1);
    });

    it("is waited for anew after its connection has ended", async () => {
      const { clock, exchange } = await create();
      exchange.compare("n-2", createBeat(9));
      await clock.advance(250);
      exchange.forget("n-2");
      expect(exchange.compare("n-2", createBeat(9))).toEqual([]);
    });
  });

  describe("a peer that has read the same", () => {
    it("shows how current this node is", async () => {
      const { feeds, exchange } = await create();
      exchange.compare("n-2", createBeat(0));
      expect(feeds.currentAges).toEqual([5, 7]);
    });
  });
});
