import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { WeightLoadLimiter } from "../../src/placement/weight-load-limiter.ts";
import { ENGINE } from "../engine.ts";

const FOREVER = new AbortController().signal;

async function countGranted(
  limit: WeightLoadLimiter,
  clock: ManualClock,
  ms: number,
): Promise<number> {
  let granted = 0;
  for (let load = 0; load < 100; load++) {
    void limit.acquire({ ...ENGINE, concurrentLoads: 100 }, 0, FOREVER)
      .then(() => granted++);
  }
  await clock.advance(ms);
  return granted;
}

describe("WeightLoadLimiter", () => {
  describe("loads at once", () => {
    it("are no more than the weight store serves at full speed", async () => {
      const clock = new ManualClock();
      const limit = new WeightLoadLimiter(clock, () => true);
      const first = await limit.acquire(ENGINE, 0, FOREVER);
      const second = limit.acquire(ENGINE, 0, FOREVER);
      await clock.advance(1000);
      await second;
      let hasThird = false;
      void limit.acquire(ENGINE, 0, FOREVER).then(() => {
        hasThird = true;
      });
      await clock.advance(10_000);
      expect(hasThird).toBe(false);
      first();
      first();
      await clock.advance(1000);
      expect(hasThird).toBe(true);
      expect(limit.running).toBe(2);
    });

    it("begin by priority, not in the order of asking", async () => {
      const clock = new ManualClock();
      const limit = new WeightLoadLimiter(clock, () => true);
      const engine = { ...ENGINE, concurrentLoads: 1 };
      const release = await limit.acquire(engine, 0, FOREVER);
      const order: number[] = [];
      for (const priority of [3, 1, 2]) {
        void limit.acquire(engine, priority, FOREVER).then((end) => {
          order.push(priority);
          end();
        });
      }
      release();
      await clock.advance(1000);
      expect(order).toEqual([1, 2, 3]);
    });

    it("do not count one that is given up while it waits", async () => {
      const clock = new ManualClock();
      const limit = new WeightLoadLimiter(clock, () => true);
      const engine = { ...ENGINE, concurrentLoads: 1 };
      const release = await limit.acquire(engine, 0, FOREVER);
      const controller = new AbortController();
      const waiting = limit.acquire(engine, 0, controller.signal);
      controller.abort(new Error("given up"));
      await expect(waiting).rejects.toThrow("given up");
      release();
      expect(limit.running).toBe(0);
    });

    it("are twice as many before the first caller comes, so that the weight store is never idle", async () => {
      const clock = new ManualClock();
      const limit = new WeightLoadLimiter(clock, () => false);
      for (let load = 0; load < 10; load++) {
        void limit.acquire(ENGINE, 0, FOREVER);
      }
      await clock.advance(10_000);
      expect(limit.running).toBe(2 * ENGINE.concurrentLoads);
    });
  });

  describe("the rate of loads", () => {
    it("stays below the ceiling once callers are served", async () => {
      const clock = new ManualClock();
      const limit = new WeightLoadLimiter(clock, () => true);
      const granted = await countGranted(limit, clock, 5000);
      expect(granted).toBeLessThanOrEqual(ENGINE.maxLoadsPerSecond * 5);
      expect(granted).toBeGreaterThan(10);
    });

    it("is free before the first caller comes", async () => {
      const clock = new ManualClock();
      const limit = new WeightLoadLimiter(clock, () => false);
      expect(await countGranted(limit, clock, 10)).toBe(100);
    });
  });
});
