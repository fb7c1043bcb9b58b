import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { createGroupName, type Group } from "../../src/hosts/groups.ts";
import type { InstanceListener } from "../../src/hosts/instances.ts";
import type { EngineControl, Instance } from "../../src/index.ts";
import type { Membership } from "../../src/model/instance.ts";
import type { LeadPresence } from "../../src/placement/lead-release.ts";
import { ReleasedHosts } from "../../src/placement/released-hosts.ts";
import { ReplaceableGroups } from "../../src/placement/replaceable-groups.ts";
import { UnlistedLeads } from "../../src/placement/unlisted-leads.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const NEVER_ABORTED = new AbortController().signal;
const LEAD = { id: "i-1", address: "10.0.0.1:80" };
const STALL_MS = 5000;
const GROUP_NAME = createGroupName("large", 7, LEAD);
type LeadReport = Awaited<ReturnType<EngineControl["requestReport"]>>;

function createReport(membership: Membership | undefined): LeadReport {
  return Result.ok({ engine: { membership } }) as unknown as LeadReport;
}

const SILENT_LOGGER = { error() {}, warn() {}, info() {}, debug() {} };

/** Creates a member of the group, or an instance without a group. */
function createInstance(
  id: string,
  rank: number | undefined,
  bornAt = 1,
): Instance {
  return {
    id,
    bornAt,
    service: "engines",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    engine: {
      fabricDomain: "d1",
      staged: [],
      ...(rank === undefined ? {} : {
        membership: {
          group: GROUP_NAME,
          epoch: 7,
          rank,
          state: rank === 0 ? "open" : "ready",
        },
      }),
    },
  };
}

const GROUP: Group = {
  name: GROUP_NAME,
  epoch: 7,
  service: "engines",
  model: "large",
  members: [createInstance("i-2", 1), createInstance("i-3", 2)],
  lead: undefined,
  state: undefined,
};

/** Creates unlisted leads over a store and releases that the test sets. */
async function createUnlistedLeads() {
  const clock = new ManualClock();
  const listeners: InstanceListener[] = [];
  const listed = new Map<string, Instance>();
  const fixture = {
    clock,
    sinceOutageMs: 60_000,
    outcome: "absent" as LeadPresence,
    /** What the lead says of itself. */
    report: Result.err({ message: "timeout" }) as LeadReport,
    reports: 0,
    releases: 0,
    isHolder: true,
    /** Members that were ordered to leave. */
    released: [] as string[],
    /** Ids under which there is only an entry that names no upstream. */
    hidden: new Set<string>(),
    /** Members that do not answer orders. */
    silent: new Set<string>(),
    /** Lists an instance, which was known as `previous`. */
    list(instance: Instance, previous?: Instance) {
      listed.set(instance.id, instance);
      listeners.forEach((listener) => listener(instance, previous));
    },
    unlist: (id: string) => listed.delete(id),
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => SILENT_LOGGER)
    .provide("settings", [], () => ({ limits: { stallMs: STALL_MS } }) as never)
    .provide(
      "feeds",
      [],
      () => ({ sinceOutageMs: () => fixture.sinceOutageMs }) as never,
    )
    .provide("instances", [], () =>
      ({
        find: (id: string) => listed.get(id),
        hasEntry: (id: string) => listed.has(id) || fixture.hidden.has(id),
        onInstance: (listener: InstanceListener) => listeners.push(listener),
      }) as never)
    .provide(
      "holder",
      [],
      () =>
        ({
          fence: 3,
          get isHolder() {
            return fixture.isHolder;
          },
        }) as never,
    )
    .provide(
      "engines",
      [],
      () =>
        ({
          requestReport: () => {
            fixture.reports++;
            return Promise.resolve(fixture.report);
          },
        }) as never,
    )
    .provide(
      "leadRelease",
      [],
      () =>
        ({
          release: () => {
            fixture.releases++;
            return Promise.resolve(fixture.outcome);
          },
        }) as never,
    );
  await kernel.start();
  const orderSender = {
    send: (id: string) => {
      fixture.released.push(id);
      return fixture.silent.has(id)
        ? Promise.reject(new Error("no answer"))
        : Promise.resolve();
    },
  };
  const groups = new ReplaceableGroups(kernel);
  const leads = new UnlistedLeads(kernel, orderSender as never, groups);
  const releasedHosts = new ReleasedHosts(kernel);
  return { fixture, groups, leads, releasedHosts };
}

describe("UnlistedLeads", () => {
  describe("without a release", () => {
    it("does not decide soon after an outage, when entries may still return", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.sinceOutageMs = 2000;
      expect(leads.getStatus(GROUP)).toBe("may-return");
    });

    it("does not count a lead as gone that was not asked", async () => {
      const { leads } = await createUnlistedLeads();
      expect(leads.getStatus(GROUP)).toBe("unknown");
    });
  });

  // Guards against TWO and against sound groups that were ended: the entry may be
  // older than the group, as a late heartbeat that a node reads when it starts.
  describe("a lead that is listed without the group", () => {
    async function ask(report: LeadReport) {
      const created = await createUnlistedLeads();
      created.fixture.list(createInstance(LEAD.id, undefined));
      created.fixture.report = report;
      expect(created.leads.getStatus(GROUP)).toBe("unknown");
      await created.leads.release(GROUP, NEVER_ABORTED);
      return created;
    }

    it("is gone once it says so itself", async () => {
      const { fixture, leads } = await ask(createReport(undefined));
      expect(leads.getStatus(GROUP)).toBe("gone");
      expect(fixture.releases).toBe(0);
    });

    it("is not gone if it says that it is a member, and is not ordered to leave", async () => {
      const { membership } = createInstance(LEAD.id, 0).engine!;
      const { fixture, leads } = await ask(createReport(membership));
      expect(leads.getStatus(GROUP)).toBe("may-return");
      await fixture.clock.advance(1000);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture).toMatchObject({ reports: 2, releases: 0, released: [] });
    });

    it("is not gone while it does not answer", async () => {
      const { fixture, leads } = await ask(Result.err({
        verdict: "may-have-run",
        message: "timeout",
      }));
      expect(leads.getStatus(GROUP)).toBe("may-return");
      expect(fixture.releases).toBe(0);
    });

    // Guards against a sound group that a node ended when it started, as
    // another writer's entry stood under the id of the lead.
    it("is not ordered to leave if its entry is hidden by another one", async () => {
      const { membership } = createInstance(LEAD.id, 0).engine!;
      const { fixture, leads } = await createUnlistedLeads();
      fixture.hidden.add(LEAD.id);
      fixture.report = createReport(membership);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("may-return");
      expect(fixture).toMatchObject({ reports: 1, releases: 0, released: [] });
    });

    it("is released by all nodes if its process has ended", async () => {
      const created = await createUnlistedLeads();
      const { fixture, leads } = created;
      fixture.list(createInstance(LEAD.id, undefined, 2));
      fixture.report = Result.err({
        verdict: "may-have-run",
        message: "ECONNREFUSED",
        isGone: true,
      });
      fixture.outcome = "left";
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("gone");
      expect(fixture.releases).toBe(1);
    });
  });

  describe("a lead that was asked", () => {
    it("is gone once it has left", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.outcome = "left";
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("gone");
    });

    it("is not gone if no node reaches it, however often", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      for (let count = 0; count < 20; count++) {
        await leads.release(GROUP, NEVER_ABORTED);
        await fixture.clock.advance(1000);
      }
      expect(leads.getStatus(GROUP)).toBe("unknown");
    });

    it("loses its members if no node reaches it twice, one second apart", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      await leads.release(GROUP, NEVER_ABORTED);
      await fixture.clock.advance(999);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture.released).toEqual([]);
      await fixture.clock.advance(1);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture.released).toEqual(["i-2", "i-3"]);
    });

    // Guards against a member that was away when the others left, came back
    // and joined another group while its lead was still open.
    it("holds the members that do not answer the order to leave", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.silent.add("i-3");
      await leads.release(GROUP, NEVER_ABORTED);
      await fixture.clock.advance(1000);
      await leads.release(GROUP, NEVER_ABORTED);
      fixture.list(createInstance("i-2", undefined), createInstance("i-2", 1));
      await fixture.clock.advance(2 * STALL_MS);
      const rest = { ...GROUP, members: [createInstance("i-3", 2)] };
      expect(leads.getStatus(rest)).toBe("unknown");
      await leads.release(rest, NEVER_ABORTED);
      expect(fixture.released).toEqual(["i-2", "i-3", "i-3"]);
    });

    it("keeps its members for its stall time if too few nodes answer", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.outcome = "unknown";
      await leads.release(GROUP, NEVER_ABORTED);
      await fixture.clock.advance(STALL_MS - 1);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture.released).toEqual([]);
      await fixture.clock.advance(1);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture.released).toEqual(["i-2", "i-3"]);
    });

    it("is not gone if it was seen in its group in between", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      await leads.release(GROUP, NEVER_ABORTED);
      await fixture.clock.advance(2000);
      fixture.outcome = "present";
      await leads.release(GROUP, NEVER_ABORTED);
      fixture.outcome = "absent";
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      expect(fixture.released).toEqual([]);
    });
  });

  // Guards against members that joined other groups while their lead, which
  // was cut off for the second time, was open.
  describe("a lead that is listed again", () => {
    it("is no longer gone", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.outcome = "left";
      await leads.release(GROUP, NEVER_ABORTED);
      fixture.list(createInstance(LEAD.id, 0));
      fixture.unlist(LEAD.id);
      expect(leads.getStatus(GROUP)).toBe("unknown");
    });

    it("is tried again from the start when it is unlisted once more", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      await leads.release(GROUP, NEVER_ABORTED);
      fixture.list(createInstance(LEAD.id, 0));
      fixture.unlist(LEAD.id);
      await fixture.clock.advance(20_000);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture.released).toEqual([]);
    });

    it("ends what an attempt found that was in progress meanwhile", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.list(createInstance(LEAD.id, 0));
      await leads.release(GROUP, NEVER_ABORTED);
      fixture.unlist(LEAD.id);
      await fixture.clock.advance(20_000);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(fixture.released).toEqual([]);
    });
  });

  describe("a listed lead whose process has ended", () => {
    const lead = createInstance(LEAD.id, 0);
    const group: Group = { ...GROUP, lead, members: [lead, ...GROUP.members] };

    async function releaseEnded(outcome: LeadPresence) {
      const created = await createUnlistedLeads();
      created.fixture.list(lead);
      created.fixture.outcome = outcome;
      const released = created.leads.releaseEnded(group, NEVER_ABORTED);
      await created.fixture.clock.advance(0);
      return { ...created, released };
    }

    it("has left once all nodes have found its end", async () => {
      const { groups } = await releaseEnded("left");
      expect(groups.hasLeft(group)).toBe(true);
    });

    // Guards against SHORT: once an outage of the store had ended, the hosts of
    // the group waited 2.5 s for the entry of a lead that had ended.
    it("is gone at once if its entry expires in an outage", async () => {
      const { fixture, leads } = await releaseEnded("left");
      fixture.unlist(LEAD.id);
      fixture.sinceOutageMs = 0;
      expect(leads.getStatus({ ...group, lead: undefined })).toBe("gone");
    });

    // Guards against members that join another group while their lead is open
    // and only this node is cut off from it.
    it("has not left if another node reaches it", async () => {
      const { fixture, groups } = await releaseEnded("present");
      await fixture.clock.advance(1000);
      expect(groups.hasLeft(group)).toBe(false);
      expect(fixture.releases).toBe(1);
    });

    it("is released again until all nodes agree", async () => {
      const { fixture, groups } = await releaseEnded("unknown");
      expect(groups.hasLeft(group)).toBe(false);
      fixture.outcome = "left";
      await fixture.clock.advance(1000);
      expect(groups.hasLeft(group)).toBe(true);
    });

    // Guards against orders of a node that no longer holds placement, under the
    // fencing number of the one that does.
    it("is not tried any more by a node that has lost placement", async () => {
      const { fixture } = await releaseEnded("unknown");
      fixture.isHolder = false;
      await fixture.clock.advance(1000);
      expect(fixture.releases).toBe(1);
    });

    it("is left to the checks of unlisted leads once it is unlisted", async () => {
      const { fixture, released } = await releaseEnded("absent");
      fixture.unlist(LEAD.id);
      await fixture.clock.advance(1000);
      await released;
      expect(fixture.releases).toBe(1);
    });
  });

  describe("a member that has left", () => {
    it("joins no other group until its lead has ended the group", async () => {
      const { fixture, releasedHosts } = await createUnlistedLeads();
      fixture.list(createInstance("i-2", undefined), createInstance("i-2", 1));
      await fixture.clock.advance(STALL_MS - 1);
      expect(releasedHosts.isHeldBack("i-2")).toBe(true);
      await fixture.clock.advance(1);
      expect(releasedHosts.isHeldBack("i-2")).toBe(false);
    });

    it("may join at once if its process has started again", async () => {
      const { fixture, releasedHosts } = await createUnlistedLeads();
      fixture.list(
        createInstance("i-2", undefined, 2),
        createInstance("i-2", 1, 1),
      );
      expect(releasedHosts.isHeldBack("i-2")).toBe(false);
    });

    it("may join at once if it led the group", async () => {
      const { fixture, releasedHosts } = await createUnlistedLeads();
      fixture.list(
        createInstance(LEAD.id, undefined),
        createInstance(LEAD.id, 0),
      );
      expect(releasedHosts.isHeldBack(LEAD.id)).toBe(false);
    });
  });
});
