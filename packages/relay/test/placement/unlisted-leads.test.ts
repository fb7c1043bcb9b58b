import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { createGroupName, type Group } from "../../src/hosts/groups.ts";
import type { LeadPresence } from "../../src/placement/lead-release.ts";
import { UnlistedLeads } from "../../src/placement/unlisted-leads.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const NEVER_ABORTED = new AbortController().signal;
const LEAD = { id: "i-1", address: "10.0.0.1:80" };
const STALL_MS = 5000;
const GROUP: Group = {
  name: createGroupName("large", 7, LEAD),
  epoch: 7,
  service: "engines",
  model: "large",
  members: [],
  lead: undefined,
  state: undefined,
};

/** Creates unlisted leads over a store and releases that the test sets. */
async function createUnlistedLeads() {
  const clock = new ManualClock();
  const fixture = {
    clock,
    sinceOutageMs: 60_000,
    isListed: false,
    outcome: "absent" as LeadPresence,
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("settings", [], () => ({ limits: { stallMs: STALL_MS } }) as never)
    .provide(
      "feeds",
      [],
      () => ({ sinceOutageMs: () => fixture.sinceOutageMs }) as never,
    )
    .provide(
      "instances",
      [],
      () => ({ find: () => fixture.isListed ? LEAD : undefined }) as never,
    )
    .provide("holder", [], () => ({ fence: 3 }) as never)
    .provide(
      "leadRelease",
      [],
      () => ({ release: () => Promise.resolve(fixture.outcome) }) as never,
    );
  await kernel.start();
  return { fixture, leads: new UnlistedLeads(kernel) };
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

    it("counts a lead as gone that is listed without the group", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.isListed = true;
      expect(leads.getStatus(GROUP)).toBe("gone");
    });
  });

  describe("a lead that was asked", () => {
    it("is gone once it has left", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.outcome = "left";
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("gone");
    });

    it("is gone if no node reaches it twice, one second apart", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await fixture.clock.advance(500);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await fixture.clock.advance(500);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("gone");
    });

    it("is given its stall time if too few nodes answer", async () => {
      const { fixture, leads } = await createUnlistedLeads();
      fixture.outcome = "unknown";
      await leads.release(GROUP, NEVER_ABORTED);
      await fixture.clock.advance(STALL_MS - 1);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await fixture.clock.advance(1);
      await leads.release(GROUP, NEVER_ABORTED);
      expect(leads.getStatus(GROUP)).toBe("gone");
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
    });
  });
});
