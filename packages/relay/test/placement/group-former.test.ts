import { Condition, Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { createGroupName } from "../../src/hosts/groups.ts";
import type { Instance } from "../../src/index.ts";
import {
  type FormingGroup,
  GroupFormer,
} from "../../src/placement/group-former.ts";
import type { OrderSender } from "../../src/placement/order-sender.ts";
import { ReplaceableGroups } from "../../src/placement/replaceable-groups.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const NEVER_ABORTED = new AbortController().signal;
const LOAD_MS = 16_000;
const LEAD = { id: "i-1", address: "10.0.0.1:80" };
const EPOCH = 7;

function createInstance(id: string, bornAt: number): Instance {
  return {
    id,
    bornAt,
    service: "engines",
    address: LEAD.address,
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    engine: { fabricDomain: "d1", staged: [] },
  };
}

const FORMING = {
  name: createGroupName("large", EPOCH, LEAD),
  epoch: EPOCH,
  model: { name: "large", hostCount: 2, loadMs: LOAD_MS, stagedLoadMs: 1600 },
  engine: { openMs: 300 },
  members: ["i-1", "i-2"],
  membersToLoad: new Set(["i-1", "i-2"]),
  stagingMembers: new Set(),
  loadPriority: 0,
} as unknown as FormingGroup;

type Report = Awaited<ReturnType<OrderSender["requestReport"]>>;

/** The report of a member that is still loading. */
const JOINING = Result.ok({
  engine: {
    membership: { group: FORMING.name, epoch: EPOCH, state: "joining" },
  },
}) as unknown as Report;

/** Begins to form a group of two hosts; no order is lost. */
async function beginFormation(
  forming: FormingGroup = FORMING,
  readySpares = 0,
) {
  const clock = new ManualClock();
  const changed = new Condition();
  const listed = new Map(
    FORMING.members.map((id) => [id, createInstance(id, 1)]),
  );
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide(
      "logger",
      [],
      () => ({ error() {}, warn() {}, info() {}, debug() {} }),
    )
    .provide(
      "instances",
      [],
      () => ({ changed, find: (id: string) => listed.get(id) }) as never,
    )
    .provide("holder", [], () => ({ fence: 3 }) as never);
  await kernel.start();
  const former = new GroupFormer(
    kernel,
    {
      send: () => Promise.resolve(),
      requestReport: () => Promise.resolve(fixture.report),
    } as never,
    { acquire: () => Promise.resolve(() => {}) } as never,
    new ReplaceableGroups(kernel),
  );
  const fixture = {
    clock,
    error: undefined as unknown,
    report: Result.err("silent") as Report,
    list,
    expire,
  };
  function list(instance: Instance): void {
    listed.set(instance.id, instance);
    changed.notify();
  }
  function expire(id: string): void {
    listed.delete(id);
    changed.notify();
  }
  const formation = {
    fabricDomain: "d1",
    remainingSpares: readySpares,
    readySpares,
    demandShare: 1,
  };
  void former.form(forming, formation as never, NEVER_ABORTED)
    .catch((failure: unknown) => fixture.error = failure);
  await clock.advance(0);
  return fixture;
}

describe("GroupFormer", () => {
  describe("a member that starts again while it loads", () => {
    // Guards against hosts and permits to load that wait for four times the
    // load for a process that has ended.
    it("ends the formation at once", async () => {
      const fixture = await beginFormation();
      fixture.list(createInstance("i-2", 2));
      await fixture.clock.advance(100);
      expect(String(fixture.error)).toContain("i-2 has started again");
    });

    it("ends it only then", async () => {
      const fixture = await beginFormation();
      fixture.list(createInstance("i-2", 1));
      await fixture.clock.advance(LOAD_MS);
      expect(fixture.error).toBeUndefined();
    });
  });

  // Guards against SHORT: hosts that were only cut off from the store ended the
  // formations that they were in, and with them the loads of all members.
  describe("a member whose entry expires", () => {
    it("is awaited while it answers as a member", async () => {
      const fixture = await beginFormation();
      fixture.report = JOINING;
      fixture.expire("i-2");
      await fixture.clock.advance(5000);
      fixture.list(createInstance("i-2", 1));
      await fixture.clock.advance(1000);
      expect(fixture.error).toBeUndefined();
    });

    it("ends the formation once it does not answer", async () => {
      const fixture = await beginFormation();
      fixture.report = JOINING;
      fixture.expire("i-2");
      await fixture.clock.advance(1000);
      fixture.report = Result.err("silent");
      await fixture.clock.advance(1000);
      expect(String(fixture.error)).toContain("i-2 is not listed");
    });

    it("ends the formation if its process has started again", async () => {
      const fixture = await beginFormation();
      fixture.report = JOINING;
      fixture.expire("i-2");
      await fixture.clock.advance(1000);
      fixture.list(createInstance("i-2", 2));
      await fixture.clock.advance(1000);
      expect(String(fixture.error)).toContain("i-2 has started again");
    });

    it("is replaced at once if a spare can join without a load", async () => {
      const fixture = await beginFormation(
        { ...FORMING, membersToLoad: new Set() },
        1,
      );
      fixture.report = JOINING;
      fixture.expire("i-2");
      await fixture.clock.advance(100);
      expect(String(fixture.error)).toContain("i-2 is not listed");
    });
  });
});
