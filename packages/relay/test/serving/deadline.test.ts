import { SystemClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { scheduleAt } from "../../src/serving/exchange.ts";

describe("scheduleAt", () => {
  describe("on a clock whose timers fire early", () => {
    it("never calls before the due time, so that a passed deadline is not treated as a fault", () => {
      let now = 0;
      const timers: { dueAt: number; callback: () => void }[] = [];
      const clock = {
        now: () => now,
        schedule: (ms: number, callback: () => void) => {
          timers.push({ dueAt: now + ms, callback });
          return () => {};
        },
      };
      const calls: number[] = [];
      scheduleAt(clock, 10, () => calls.push(now));

      now = 9.4;
      timers.shift()!.callback();
      expect(calls).toEqual([]);

      now = 10.2;
      timers.shift()!.callback();
      expect(calls).toEqual([10.2]);
    });

    it("can be cancelled after an early timer", () => {
      let now = 0;
      const timers = new Set<() => void>();
      const clock = {
        now: () => now,
        schedule: (_ms: number, callback: () => void) => {
          timers.add(callback);
          return () => timers.delete(callback);
        },
      };
      const cancel = scheduleAt(clock, 10, () => {
        throw new Error("called although cancelled");
      });
      const [first] = timers;
      timers.clear();
      now = 9.4;
      first!();
      cancel();
      expect(timers.size).toBe(0);
    });
  });

  describe("on the system clock", () => {
    it("never calls before the due time", async () => {
      const clock = new SystemClock();
      const early = await Promise.all(
        Array.from({ length: 200 }, (_, index) => {
          const dueAt = clock.now() + 5 + index * 0.37;
          return new Promise<boolean>((resolve) => {
            scheduleAt(clock, dueAt, () => resolve(clock.now() < dueAt));
          });
        }),
      );
      expect(early.filter(Boolean)).toEqual([]);
    });
  });
});
