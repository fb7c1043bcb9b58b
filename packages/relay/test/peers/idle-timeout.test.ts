import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { IdleTimeout } from "../../src/peers/idle-timeout.ts";

function start() {
  const clock = new ManualClock();
  const timeouts = { count: 0 };
  const idleTimeout = new IdleTimeout(clock, 900, () => {
    timeouts.count++;
  });
  return { clock, timeouts, idleTimeout };
}

describe("IdleTimeout", () => {
  describe("a silent peer", () => {
    it("causes one callback, so that its connection can be closed", async () => {
      const { clock, timeouts } = start();
      await clock.advance(899);
      expect(timeouts.count).toBe(0);
      await clock.advance(2000);
      expect(timeouts.count).toBe(1);
    });

    it("is timed from its last message", async () => {
      const { clock, timeouts, idleTimeout } = start();
      await clock.advance(800);
      idleTimeout.reset(900);
      await clock.advance(899);
      expect(timeouts.count).toBe(0);
      await clock.advance(1);
      expect(timeouts.count).toBe(1);
    });
  });

  describe("an ended connection", () => {
    it("causes no callback", async () => {
      const { clock, timeouts, idleTimeout } = start();
      idleTimeout.cancel();
      await clock.advance(2000);
      expect(timeouts.count).toBe(0);
    });
  });
});
