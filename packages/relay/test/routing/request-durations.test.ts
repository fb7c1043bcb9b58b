import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { RequestDurations } from "../../src/routing/request-durations.ts";

describe("RequestDurations", () => {
  describe("the mean duration", () => {
    it("has a default until a request has ended, so that old counts expire", () => {
      const durations = new RequestDurations(new ManualClock());
      expect(durations.meanMs(["i-1"])).toBe(1000);
    });

    it("covers all requested instances and no others", () => {
      const durations = new RequestDurations(new ManualClock());
      durations.record("i-1", 100);
      durations.record("i-2", 400);
      durations.record("i-3", 9000);
      expect(durations.meanMs(["i-1", "i-2"])).toBeCloseTo(250);
    });

    it("follows a change, so that slow requests at the start stop counting", async () => {
      const clock = new ManualClock();
      const durations = new RequestDurations(clock);
      durations.record("i-1", 5000);
      await clock.advance(40_000);
      durations.record("i-1", 50);
      expect(durations.meanMs(["i-1"])).toBeLessThan(55);
    });
  });

  describe("instances without requests", () => {
    it("are removed, so that memory does not grow with ended instances", async () => {
      const clock = new ManualClock();
      const durations = new RequestDurations(clock);
      durations.record("i-1", 300);
      await clock.advance(60_000);
      durations.prune();
      expect(durations.meanMs(["i-1"])).toBe(1000);
    });
  });
});
