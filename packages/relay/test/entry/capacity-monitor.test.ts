import { Kernel, ManualClock } from "@zinniahill/kernel";
import { afterEach, describe, expect, it } from "vitest";
import { CapacityMonitor } from "../../src/entry/capacity-monitor.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const WINDOW_MS = 1000;

/** A clock of a process whose timers wait behind other work. */
class LateClock extends ManualClock {
  lateMs = 0;

  override schedule(ms: number, callback: () => void): () => void {
    return super.schedule(ms + this.lateMs, callback);
  }
}

let intake: CapacityMonitor;

async function start(): Promise<LateClock> {
  const clock = new LateClock();
  const silent = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silent)
    .provide("settings", [], () => ({ node: { coreShare: 0.8 } }) as never);
  await kernel.start();
  intake = new CapacityMonitor(kernel);
  intake.start();
  return clock;
}

afterEach(() => intake.stop());

describe("Intake", () => {
  it("begins with the node's share of a core", async () => {
    await start();
    expect(intake.capacity).toBe(0.8);
  });

  describe("a node whose turns run late", () => {
    it("takes less with each window", async () => {
      const clock = await start();
      clock.lateMs = 40;
      await clock.advance(2 * WINDOW_MS);
      expect(intake.capacity).toBeCloseTo(0.4);
      await clock.advance(2 * WINDOW_MS);
      expect(intake.capacity).toBeCloseTo(0.2);
    });

    it("is never left out for good", async () => {
      const clock = await start();
      clock.lateMs = 40;
      await clock.advance(60 * WINDOW_MS);
      expect(intake.capacity).toBeCloseTo(0.04);
    });

    it("takes more again by steps once they are in time", async () => {
      const clock = await start();
      clock.lateMs = 40;
      await clock.advance(2 * WINDOW_MS);
      clock.lateMs = 0;
      await clock.advance(3 * WINDOW_MS);
      expect(intake.capacity).toBeGreaterThan(0.4);
      expect(intake.capacity).toBeLessThan(0.6);
      await clock.advance(20 * WINDOW_MS);
      expect(intake.capacity).toBe(0.8);
    });
  });

  describe("a node that was paused once", () => {
    it("keeps its share", async () => {
      const clock = await start();
      clock.lateMs = 3000;
      await clock.advance(100);
      clock.lateMs = 0;
      await clock.advance(5 * WINDOW_MS);
      expect(intake.capacity).toBe(0.8);
    });
  });
});
