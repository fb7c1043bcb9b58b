import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { Engines, Fault, OrderReply, Report } from "../../src/index.ts";
import type { Mesh } from "../../src/peers/mesh.ts";
import { LeadRelease } from "../../src/placement/lead-release.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const SILENT: Fault = { verdict: "may-have-run", message: "no reply" };
const FOREVER = new AbortController().signal;
const LEAD = { id: "i-1", address: "10.0.0.1:80" };

function createReport(group: string | undefined): Report {
  return {
    engine: {
      fabricDomain: "d1",
      staged: [],
      ...(group === undefined ? {} : {
        membership: { group, epoch: 1, rank: 0, state: "open" as const },
      }),
    },
    orderCount: 1,
    isBusy: false,
    running: 0,
    waiting: 0,
    pace: 1,
  };
}

/** A lead release over engines that answer as the test says. */
async function release(
  order: OrderReply | undefined,
  report: Report | undefined,
): Promise<string> {
  const clock = new ManualClock();
  const engines: Engines = {
    order: () =>
      Promise.resolve(
        order === undefined ? Result.err(SILENT) : Result.ok(order),
      ),
    report: () =>
      Promise.resolve(
        report === undefined ? Result.err(SILENT) : Result.ok(report),
      ),
  };
  const mesh: Pick<Mesh, "on" | "broadcast" | "sendTo"> = {
    on: () => {},
    broadcast: () => {},
    sendTo: () => {},
  };
  const silent = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("random", [], () => new SeededRandom(1))
    .provide("logger", [], () => silent)
    .provide("engines", [], () => engines)
    .provide("mesh", [], () => mesh as Mesh);
  await kernel.start();
  const released = new LeadRelease(kernel)
    .release(LEAD, "g", 1, 7, FOREVER);
  await clock.advance(5000);
  return released;
}

describe("LeadRelease", () => {
  describe("a lead that the store no longer lists", () => {
    it("is there still when only its orders stay unanswered", async () => {
      expect(await release(undefined, createReport("g"))).toBe("present");
    });

    it("has left when it accepts the order", async () => {
      expect(await release("accepted", undefined)).toBe("left");
    });

    it("has left when its report names another group", async () => {
      expect(await release(undefined, createReport("other"))).toBe("left");
    });

    it("is not taken for gone when it refuses an old fencing number", async () => {
      expect(await release("fenced", createReport("g"))).toBe("present");
    });

    it("is unreachable when nothing of it answers", async () => {
      expect(await release(undefined, undefined)).toBe("unreachable");
    });
  });
});
