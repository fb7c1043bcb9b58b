import { Kernel, ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { createGroupName, type Group } from "../../src/hosts/groups.ts";
import type { LeadPresence } from "../../src/placement/lead-release.ts";
import { UnlistedLeads } from "../../src/placement/unlisted-leads.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const FOREVER = new AbortController().signal;
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

/** Unlisted leads over a store and releases that the test sets. */
async function create() {
  const clock = new ManualClock();
  const world = {
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
      () => ({ sinceOutageMs: () => world.sinceOutageMs }) as never,
    )
    .provide(
      "instances",
      [],
      () => ({ find: () => world.isListed ? LEAD : undefined }) as never,
    )
    .provide("holder", [], () => ({ fence: 3 }) as never)
    .provide(
      "leadRelease",
      [],
      () => ({ release: () => Promise.resolve(world.outcome) }) as never,
    );
  await kernel.start();
  return { world, leads: new UnlistedLeads(kernel) };
}

describe("UnlistedLeads", () => {
  describe("without a release", () => {
    it("does not judge soon after an outage, when entries may still return", async () => {
      const { world, leads } = await create();
      world.sinceOutageMs = 2000;
      expect(leads.getStatus(GROUP)).toBe("may-return");
    });

    it("does not take a lead for gone that was not asked", async () => {
      const { leads } = await create();
      expect(leads.getStatus(GROUP)).toBe("unknown");
    });

    it("takes a lead for gone that is listed without the group", async () => {
      const { world, leads } = await create();
      world.isListed = true;
      expect(leads.getStatus(GROUP)).toBe("gone");
    });
  });

  describe("a lead that was asked", () => {
    it("is gone once it has left", async () => {
      const { world, leads } = await create();
      world.outcome = "left";
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("gone");
    });

    it("is gone when no node reaches it twice, a second apart", async () => {
      const { world, leads } = await create();
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await world.clock.advance(500);
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await world.clock.advance(500);
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("gone");
    });

    it("is given its stall time when too few nodes answer", async () => {
      const { world, leads } = await create();
      world.outcome = "unknown";
      await leads.release(GROUP, FOREVER);
      await world.clock.advance(STALL_MS - 1);
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("unknown");
      await world.clock.advance(1);
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("gone");
    });

    it("is not gone when it was seen in its group in between", async () => {
      const { world, leads } = await create();
      await leads.release(GROUP, FOREVER);
      await world.clock.advance(2000);
      world.outcome = "present";
      await leads.release(GROUP, FOREVER);
      world.outcome = "absent";
      await leads.release(GROUP, FOREVER);
      expect(leads.getStatus(GROUP)).toBe("unknown");
    });
  });
});
