import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { RecordTable } from "../../src/feeds/record-table.ts";
import type { UpdateListener } from "../../src/hosts/instances.ts";
import type { KeyRecord, MessageOf } from "../../src/model/peer-message.ts";
import { createPosition } from "../../src/model/store-position.ts";
import { InstanceUpdates } from "../../src/peers/instance-updates.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

type Update = MessageOf<"news">;

function createRecord(key: string, offset: number): KeyRecord {
  return { key, offset, value: `${key} at ${offset}` };
}

/** Creates a node whose reads and messages the test supplies. */
async function create() {
  const clock = new ManualClock();
  const table = new RecordTable();
  const env = {
    clock,
    table,
    isHolder: true,
    sent: [] as Update[],
    read: (_records: readonly KeyRecord[], _next: number) => {},
    receive: (_update: Update) => {},
  };
  const instances = {
    onUpdate: (listener: UpdateListener) => {
      env.read = (records, next) => {
        table.apply(records, next);
        listener(records);
      };
    },
  };
  const mesh = {
    onMessage: (_kind: string, listener: (update: Update) => void) => {
      env.receive = listener;
    },
    broadcast: (message: Update) => {
      env.sent.push(message);
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
            return env.isHolder;
          },
        }) as never,
    );
  await kernel.start();
  new InstanceUpdates(kernel);
  return env;
}

describe("InstanceUpdates", () => {
  describe("the holder of placement", () => {
    it("sends changes immediately, with the range of offsets that they cover", async () => {
      const env = await create();
      env.read([], 10);
      env.read([createRecord("i-1", 12)], 14);
      expect(env.sent).toEqual([
        {
          kind: "news",
          from: 10,
          next: 14,
          records: [createRecord("i-1", 12)],
        },
      ]);
    });

    it("sends no range that it read before it held placement", async () => {
      const env = await create();
      env.isHolder = false;
      env.read([createRecord("i-1", 3)], 4);
      env.isHolder = true;
      env.read([createRecord("i-2", 5)], 6);
      expect(env.sent).toEqual([]);
      env.read([createRecord("i-3", 7)], 8);
      expect(env.sent).toMatchObject([{ from: 6, next: 8 }]);
    });

    it("sends its offset regularly, so that peers need not fetch records", async () => {
      const env = await create();
      env.read([], 10);
      for (let next = 11; next <= 30; next++) {
        await env.clock.advance(100);
        env.read([], next);
      }
      expect(env.sent).toHaveLength(5);
      expect(env.sent.at(-1)).toMatchObject({ records: [], next: 30 });
    });

    // Guards against nodes that take an update for all that a restore changed.
    it("sends no update that spans a restore of the store", async () => {
      const env = await create();
      env.read([], 10);
      const position = createPosition(1, 4);
      env.read([createRecord("i-1", position)], position + 1);
      expect(env.sent).toEqual([]);
      env.read([createRecord("i-2", position + 1)], position + 2);
      expect(env.sent).toMatchObject([{ from: position + 1 }]);
    });

    it("leaves no gap between updates when it reads only renewals", async () => {
      const env = await create();
      env.read([], 10);
      env.read([], 20);
      env.read([createRecord("i-1", 25)], 30);
      expect(env.sent).toMatchObject([{ from: 10, next: 30 }]);
    });
  });

  describe("its peers", () => {
    it("apply an update that follows what they have read", async () => {
      const env = await create();
      env.table.apply([], 10);
      const records = [createRecord("i-1", 11)];
      env.receive({ kind: "news", from: 8, next: 12, records });
      expect(env.table.next).toBe(12);
      expect(env.table.list()).toEqual(records);
    });

    it("ignore an update after a gap, as a change in the gap would be missed", async () => {
      const env = await create();
      env.table.apply([], 10);
      const records = [createRecord("i-1", 12)];
      env.receive({ kind: "news", from: 11, next: 13, records });
      expect(env.table.next).toBe(10);
      expect(env.table.list()).toEqual([]);
    });
  });
});
