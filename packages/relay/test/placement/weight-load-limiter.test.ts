import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { WeightLoadLimiter } from "../../src/placement/weight-load-limiter.ts";
import { ENGINE } from "../engine.ts";

const NEVER_ABORTED = new AbortController().signal;

async function countGranted(
  limiter: WeightLoadLimiter,
  clock: ManualClock,
  ms: number,
): Promise<number> {
  let granted = 0;
  for (let load = 0; load < 100; load++) {
    void limiter.acquire(
      { ...ENGINE, concurrentLoads: 100 },
      0,
      NEVER_ABORTED,
    )
      .then(() => granted++);
  }
  await clock.advance(ms);
  return granted;
}

describe("WeightLoadLimiter", () => {
  describe("concurrent loads", () => {
    it("are no more than the weight store serves at full speed", async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, () => true);
      const releaseFirst = await limiter.acquire(ENGINE, 0, NEVER_ABORTED);
      const second = limiter.acquire(ENGINE, 0, NEVER_ABORTED);
      await clock.advance(1000);
      await second;
      let hasThird = false;
      void limiter.acquire(ENGINE, 0, NEVER_ABORTED).then(() => {
        hasThird = true;
      });
      await clock.advance(10_000);
      expect(hasThird).toBe(false);
      releaseFirst();
      releaseFirst();
      await clock.advance(1000);
      expect(hasThird).toBe(true);
      expect(limiter.runningCount).toBe(2);
    });

    it("start by priority, not in the order of their requests", async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, () => true);
      const engine = { ...ENGINE, concurrentLoads: 1 };
      const release = await limiter.acquire(engine, 0, NEVER_ABORTED);
      const order: number[] = [];
      for (const priority of [3, 1, 2]) {
        void limiter.acquire(engine, priority, NEVER_ABORTED).then((end) => {
          order.push(priority);
          end();
        });
      }
      release();
      await clock.advance(1000);
      expect(order).toEqual([1, 2, 3]);
    });

    it("do not include one that is aborted while it waits", async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, () => true);
      const engine = { ...ENGINE, concurrentLoads: 1 };
      const release = await limiter.acquire(engine, 0, NEVER_ABORTED);
      const controller = new AbortController();
      const waiting = limiter.acquire(engine, 0, controller.signal);
      controller.abort(new Error("aborted"));
      await expect(waiting).rejects.toThrow("aborted");
      release();
      expect(limiter.runningCount).toBe(0);
    });

    it("are twice as many before the first caller's request, so that the weight store is never idle", async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, () => false);
      for (let load = 0; load < 10; load++) {
        void limiter.acquire(ENGINE, 0, NEVER_ABORTED);
      }
      await clock.advance(10_000);
      expect(limiter.runningCount).toBe(2 * ENGINE.concurrentLoads);
    });
  });

  describe("the rate of loads", () => {
    it("stays below the limit once callers are served", async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, () => true);
      const granted = await countGranted(limiter, clock, 5000);
      expect(granted).toBeLessThanOrEqual(ENGINE.maxLoadsPerSecond * 5);
      expect(granted).toBeGreaterThan(10);
    });

    it("is unlimited before the first caller's request", async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, () => false);
      expect(await countGranted(limiter, clock, 10)).toBe(100);
    });
  });
});
