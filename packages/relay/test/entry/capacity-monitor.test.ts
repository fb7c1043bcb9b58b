import { Kernel, ManualClock } from "@zinniahill/kernel";
import { afterEach, describe, expect, it } from "vitest";
import { CapacityMonitor } from "../../src/entry/capacity-monitor.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const WINDOW_MS = 1000;

/** A clock whose timers are delayed by other work. */
class DelayedClock extends ManualClock {
  delayMs = 0;

  override schedule(ms: number, callback: () => void): () => void {
    return super.schedule(ms + this.delayMs, callback);
  }
}

let monitor: CapacityMonitor;

async function start(): Promise<DelayedClock> {
  const clock = new DelayedClock();
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silentLogger)
    .provide("settings", [], () => ({ node: { coreShare: 0.8 } }) as never);
  await kernel.start();
  monitor = new CapacityMonitor(kernel);
  monitor.start();
  return clock;
}

afterEach(() => monitor.stop());

describe("CapacityMonitor", () => {
  it("starts with the configured share of a core", async () => {
    await start();
    expect(monitor.capacity).toBe(0.8);
  });

  describe("while event loop turns run late", () => {
    it("lowers the capacity in each window", async () => {
      const clock = await start();
      clock.delayMs = 40;
      await clock.advance(2 * WINDOW_MS);
      expect(monitor.capacity).toBeCloseTo(0.4);
      await clock.advance(2 * WINDOW_MS);
      expect(monitor.capacity).toBeCloseTo(0.2);
    });

    it("keeps a minimum capacity, so that a recovery can be detected", async () => {
      const clock = await start();
      clock.delayMs = 40;
      await clock.advance(60 * WINDOW_MS);
      expect(monitor.capacity).toBeCloseTo(0.04);
    });

    it("raises the capacity step by step once turns are on time", async () => {
      const clock = await start();
      clock.delayMs = 40;
      await clock.advance(2 * WINDOW_MS);
      clock.delayMs = 0;
      await clock.advance(3 * WINDOW_MS);
      expect(monitor.capacity).toBeGreaterThan(0.4);
      expect(monitor.capacity).toBeLessThan(0.6);
      await clock.advance(20 * WINDOW_MS);
      expect(monitor.capacity).toBe(0.8);
    });
  });

  describe("after a single pause", () => {
    it("keeps the capacity", async () => {
      const clock = await start();
      clock.delayMs = 3000;
      await clock.advance(100);
      clock.delayMs = 0;
      await clock.advance(5 * WINDOW_MS);
      expect(monitor.capacity).toBe(0.8);
    });
  });
});
