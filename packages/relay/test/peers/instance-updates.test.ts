import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { RecordTable } from "../../src/feeds/record-table.ts";
import type { UpdateListener } from "../../src/hosts/instances.ts";
import type { KeyRecord, MessageOf } from "../../src/model/peer-message.ts";
import { InstanceUpdates } from "../../src/peers/instance-updates.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

type News = MessageOf<"news">;

function createRecord(key: string, offset: number): KeyRecord {
  return { key, offset, value: `${key} at ${offset}` };
}

/** A node whose reads and messages the test makes. */
async function create() {
  const clock = new ManualClock();
  const table = new RecordTable();
  const world = {
    clock,
    table,
    isHolder: true,
    told: [] as News[],
    read: (_news: readonly KeyRecord[], _next: number) => {},
    hear: (_news: News) => {},
  };
  const instances = {
    onUpdate: (listener: UpdateListener) => {
      world.read = (news, next) => {
        table.apply(news, next);
        listener(news);
      };
    },
  };
  const mesh = {
    onMessage: (_kind: string, listener: (news: News) => void) => {
      world.hear = listener;
    },
    broadcast: (message: News) => {
      world.told.push(message);
    },
  };
  const feeds = {
    table: () => table,
    applyUpdate: (_feed: string, records: KeyRecord[], next: number) => {
      table.apply(records, next);
    },
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("feeds", [], () => feeds as never)
    .provide("instances", [], () => instances as never)
    .provide("mesh", [], () => mesh as never)
    .provide(
      "holder",
      [],
      () =>
        ({
          get isHolder() {
            return world.isHolder;
          },
        }) as never,
    );
  await kernel.start();
  new InstanceUpdates(kernel);
  return world;
}

describe("InstanceUpdates", () => {
  describe("the holder of placement", () => {
    it("tells what is new at once, and between which offsets", async () => {
      const world = await create();
      world.read([], 10);
      world.read([createRecord("i-1", 12)], 14);
      expect(world.told).toEqual([
        {
          kind: "news",
          from: 10,
          next: 14,
          records: [createRecord("i-1", 12)],
        },
      ]);
    });

    it("does not vouch for what it read before it held placement", async () => {
      const world = await create();
      world.isHolder = false;
      world.read([createRecord("i-1", 3)], 4);
      world.isHolder = true;
      world.read([createRecord("i-2", 5)], 6);
      expect(world.told).toEqual([]);
      world.read([createRecord("i-3", 7)], 8);
      expect(world.told).toMatchObject([{ from: 6, next: 8 }]);
    });

    it("tells how far it has read now and then, so that peers need not ask", async () => {
      const world = await create();
      world.read([], 10);
      for (let next = 11; next <= 30; next++) {
        await world.clock.advance(100);
        world.read([], next);
      }
      expect(world.told).toHaveLength(5);
      expect(world.told.at(-1)).toMatchObject({ records: [], next: 30 });
    });

    it("leaves no gap when renewals came in between", async () => {
      const world = await create();
      world.read([], 10);
      world.read([], 20);
      world.read([createRecord("i-1", 25)], 30);
      expect(world.told).toMatchObject([{ from: 10, next: 30 }]);
    });
  });

  describe("its peers", () => {
    it("take news that follow what they know", async () => {
      const world = await create();
      world.table.apply([], 10);
      const records = [createRecord("i-1", 11)];
      world.hear({ kind: "news", from: 8, next: 12, records });
      expect(world.table.next).toBe(12);
      expect(world.table.list()).toEqual(records);
    });

    it("take none after a gap, as a change in the gap would be missed", async () => {
      const world = await create();
      world.table.apply([], 10);
      const records = [createRecord("i-1", 12)];
      world.hear({ kind: "news", from: 11, next: 13, records });
      expect(world.table.next).toBe(10);
      expect(world.table.list()).toEqual([]);
    });
  });
});
