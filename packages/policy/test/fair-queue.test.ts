import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { FairQueue, type QueuedItem } from "../src/index.ts";

const SEED = 7;

function createItem(account: string, cost = 100): QueuedItem {
  return { account, cost };
}

describe("FairQueue", () => {
  describe("order", () => {
    it("does not let one account's queue delay another account", () => {
      const queue = new FairQueue<QueuedItem>();
      for (let index = 0; index < 100; index++) {
        queue.add(createItem("large"), 1);
      }
      queue.take();
      queue.add(createItem("small"), 1);
      expect(queue.take()!.account).toBe("small");
    });

    it("keeps a new account in front after charges of another were corrected", () => {
      const queue = new FairQueue<QueuedItem>();
      const taken = [];
      for (let index = 0; index < 100; index++) {
        queue.add(createItem("large"), 1);
      }
      for (let index = 0; index < 20; index++) {
        taken.push(queue.take()!);
      }
      taken.forEach((item) => queue.end(item, 1));
      queue.take();
      queue.add(createItem("small"), 1);
      expect([queue.take(), queue.take()].map((item) => item!.account))
        .toContain("small");
    });

    it("serves tokens by weight when both accounts always wait", () => {
      const queue = new FairQueue<QueuedItem>();
      const tokens = { one: 0, three: 0 };
      for (let index = 0; index < 400; index++) {
        queue.add(createItem("one"), 1);
        queue.add(createItem("three", 50), 3);
      }
      for (let index = 0; index < 300; index++) {
        const item = queue.take()!;
        tokens[item.account as keyof typeof tokens] += item.cost;
        queue.end(item, item.cost);
      }
      expect(tokens.three / tokens.one).toBeCloseTo(3, 1);
    });

    it("charges the real tokens, not the requested ones", () => {
      const queue = new FairQueue<QueuedItem>();
      const real = { short: 10, long: 100 };
      const tokens = { short: 0, long: 0 };
      for (let index = 0; index < 500; index++) {
        queue.add(createItem("short"), 1);
        queue.add(createItem("long"), 1);
      }
      for (let index = 0; index < 400; index++) {
        const item = queue.take()!;
        const account = item.account as keyof typeof tokens;
        tokens[account] += real[account];
        queue.end(item, real[account]);
      }
      expect(tokens.short / tokens.long).toBeGreaterThan(0.9);
    });
  });

  describe("memory", () => {
    it("keeps no account and no item once all items have ended", () => {
      fc.assert(
        fc.property(
          fc.array(fc.tuple(fc.nat(20), fc.integer({ min: 1, max: 200 }))),
          (items) => {
            const queue = new FairQueue<QueuedItem>();
            items.forEach(([account, cost]) =>
              queue.add(createItem(`a${account}`, cost), 1 + account % 3)
            );
            const taken = [];
            for (let item = queue.take(); item; item = queue.take()) {
              taken.push(item);
            }
            expect(taken).toHaveLength(items.length);
            taken.forEach((item, index) => queue.end(item, index % 7));
            expect([queue.size, queue.accountCount, queue.waitingCost])
              .toEqual([0, 0, 0]);
          },
        ),
        { seed: SEED, numRuns: 200 },
      );
    });

    it("forgets idle accounts while others are served", () => {
      const queue = new FairQueue<QueuedItem>();
      for (let index = 0; index < 1000; index++) {
        queue.add(createItem(`a${index}`), 1);
        queue.add(createItem("busy"), 1);
        const taken = [queue.take()!, queue.take()!];
        queue.add(createItem("busy"), 1);
        taken.forEach((item) => queue.end(item, 100));
        queue.end(queue.take()!, 100);
      }
      expect(queue.accountCount).toBeLessThan(10);
    });
  });
});
