import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { IdleTimeout } from "../../src/peers/idle-timeout.ts";

function start() {
  const clock = new ManualClock();
  const seen = { calls: 0 };
  const limit = new IdleTimeout(clock, 900, () => {
    seen.calls++;
  });
  return { clock, seen, limit };
}

describe("IdleTimeout", () => {
  describe("a silent peer", () => {
    it("calls once when no message comes, so that a dead peer is dropped", async () => {
      const { clock, seen } = start();
      await clock.advance(899);
      expect(seen.calls).toBe(0);
      await clock.advance(2000);
      expect(seen.calls).toBe(1);
    });

    it("counts from the last message", async () => {
      const { clock, seen, limit } = start();
      await clock.advance(800);
      limit.reset(900);
      await clock.advance(899);
      expect(seen.calls).toBe(0);
      await clock.advance(1);
      expect(seen.calls).toBe(1);
    });
  });

  describe("an ended conversation", () => {
    it("does not call after its end", async () => {
      const { clock, seen, limit } = start();
      limit.cancel();
      await clock.advance(2000);
      expect(seen.calls).toBe(0);
    });
  });
});
