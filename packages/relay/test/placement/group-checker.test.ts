import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import type { Group } from "../../src/hosts/groups.ts";
import {
  type CheckCause,
  GroupChecker,
} from "../../src/placement/group-checker.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const GROUP = {
  name: "large~1",
  epoch: 1,
  service: "engines",
  model: "large",
  members: [{ id: "i-1" }],
} as unknown as Group;

/** Requests a check every 100 ms and counts those that are made. */
async function countChecks(
  cause: CheckCause,
  isComplete: boolean,
  durationMs: number,
): Promise<number> {
  const clock = new ManualClock();
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const engine = { models: [{ name: "large", hostCount: isComplete ? 1 : 2 }] };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silentLogger)
    .provide(
      "configuration",
      [],
      () => ({ current: { services: [{ name: "engines", engine }] } }) as never,
    )
    .provide("instances", [], () => ({ listDeparted: () => [] }) as never)
    .provide("groups", [], () => ({ find: () => GROUP }) as never)
    .provide("holder", [], () => ({ isHolder: true }) as never);
  await kernel.start();
  let checks = 0;
  const checker = new GroupChecker(kernel, {
    health: {
      probe: () => {
        checks++;
        const membership = { group: "large~1", epoch: 1 };
        return Promise.resolve({ engine: { membership }, timeFactor: 1 });
      },
    } as never,
    dissolver: { dissolve: () => Promise.resolve() } as never,
    isBusy: () => false,
    runTask: (_group, work) => void work(new AbortController().signal),
    listFreeHosts: () => [],
  });
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    checker.request(GROUP.name, GROUP.epoch, cause);
    await clock.advance(100);
  }
  return checks;
}

describe("GroupChecker", () => {
  describe("a group whose members are not all listed", () => {
    it("is checked seldom while all of them answer", async () => {
      expect(await countChecks("unlisted", true, 6000)).toBe(2);
    });

    it("is checked often while one does not answer", async () => {
      expect(await countChecks("unlisted", false, 2000)).toBe(4);
    });
  });

  describe("a group that stalls", () => {
    it("is checked often, whatever the last check found", async () => {
      expect(await countChecks("stalled", true, 2000)).toBe(4);
    });
  });
});
