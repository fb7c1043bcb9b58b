import { ManualClock } from "@zinniahill/kernel";
import { beforeEach, describe, expect, it } from "vitest";
import { PausableClock } from "../src/matrix/pausable-clock.ts";

describe("PausableClock", () => {
  let shared: ManualClock;
  let clock: PausableClock;
  beforeEach(() => {
    shared = new ManualClock();
    clock = new PausableClock(shared);
  });

  describe("while paused", () => {
    it("fires nothing, so that a paused node does not act", async () => {
      const fired: string[] = [];
      clock.schedule(10, () => fired.push("timer"));
      clock.pause();
      clock.run(() => fired.push("reply"));
      await shared.advance(100);
      expect(fired).toEqual([]);
    });

    it("fires overdue timers before held replies when continued", async () => {
      const fired: string[] = [];
      clock.pause();
      clock.run(() => fired.push("reply"));
      clock.schedule(10, () => fired.push("timer"));
      await shared.advance(100);
      clock.continue();
      expect(fired).toEqual(["timer", "reply"]);
      expect(clock.now()).toBe(100);
    });

    it("does not fire a timer that was cancelled meanwhile", async () => {
      const fired: string[] = [];
      const cancel = clock.schedule(10, () => fired.push("timer"));
      clock.pause();
      await shared.advance(100);
      cancel();
      clock.continue();
      expect(fired).toEqual([]);
    });
  });

  describe("when ended", () => {
    it("never fires again, so that a killed node does not act", async () => {
      const fired: string[] = [];
      clock.schedule(10, () => fired.push("timer"));
      clock.pause();
      await shared.advance(100);
      clock.end();
      clock.continue();
      expect(fired).toEqual([]);
    });
  });
});
