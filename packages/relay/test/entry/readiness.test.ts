import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { Readiness } from "../../src/entry/readiness.ts";
import { Lifecycle } from "../../src/lifecycle.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

describe("Readiness", () => {
  describe("of a node that reads version 7 from a restored store", () => {
    // Guards against a node that serves by a version which its peers have
    // replaced, and against one that waits for longer than necessary.
    it.each([[true, 7, 0], [false, 7, 1000], [true, 8, 1000]])(
      "waits for its peers (all heard: %s, version %i) up to %i ms",
      async (hasHeardAll, reportedVersion, ms) => {
        const clock = new ManualClock();
        const lifecycle = new Lifecycle();
        const configuration = {
          current: undefined as unknown,
          newestVersion: 7,
          admitFirst() {
            this.current = {};
          },
        };
        const feeds = { isReachable: () => true, table: () => ({ next: 1 }) };
        const mesh = { hasHeardAll, reportedVersion };
        const kernel: RelayKernel = new Kernel<RelayServices>();
        kernel
          .provide("clock", [], () => clock)
          .provide("logger", [], () => ({}) as never)
          .provide("lifecycle", [], () => lifecycle)
          .provide("configuration", [], () => configuration as never)
          .provide("feeds", [], () => feeds as never)
          .provide("mesh", [], () => mesh as never);
        await kernel.start();
        new Readiness(kernel).start();
        await clock.advance(ms * 0.9);
        expect(lifecycle.isServing).toBe(false);
        await clock.advance(100 + ms * 0.1);
        expect(lifecycle.isServing).toBe(true);
      },
    );
  });
});
