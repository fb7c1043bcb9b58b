import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { RequestDurations } from "../../src/routing/request-durations.ts";

describe("RequestDurations", () => {
  describe("the mean time", () => {
    it("is assumed until a request has ended, so that old counts expire", () => {
      const times = new RequestDurations(new ManualClock());
      expect(times.meanMs(["i-1"])).toBe(1000);
    });

    it("is taken over all the instances that are asked about", () => {
      const times = new RequestDurations(new ManualClock());
      times.note("i-1", 100);
      times.note("i-2", 400);
      times.note("i-3", 9000);
      expect(times.meanMs(["i-1", "i-2"])).toBeCloseTo(250);
    });

    it("follows a change, as it would keep a slow start for ever", async () => {
      const clock = new ManualClock();
      const times = new RequestDurations(clock);
      times.note("i-1", 5000);
      await clock.advance(40_000);
      times.note("i-1", 50);
      expect(times.meanMs(["i-1"])).toBeLessThan(55);
    });
  });

  describe("instances without requests", () => {
    it("are forgotten, as ids of ended instances would fill the memory", async () => {
      const clock = new ManualClock();
      const times = new RequestDurations(clock);
      times.note("i-1", 300);
      await clock.advance(60_000);
      times.prune();
      expect(times.meanMs(["i-1"])).toBe(1000);
    });
  });
});
