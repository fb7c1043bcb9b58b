import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { GroupState } from "@zinniahill/schema";
import {
  Fleet,
  type FleetNode,
  listGroups,
  listServable,
  startRequest,
} from "./fleet.ts";

const MINUTE_MS = 60_000;
const LEAVE_LIMIT_MS = 30_000;
const STEP_MS = 20;
const HOST_LIST_INTERVAL_MS = 1000;
const MODEL = "model chat version=1 hosts=2 replicas=1";

/** What an operator or the platform does so that a host has to go. */
const CAUSES: Readonly<Record<string, (fleet: Fleet, host: string) => void>> = {
  "the operator drains it": (fleet, host) => fleet.setDrained(host, true),
  "the host list says it leaves": (fleet, host) => {
    const known = fleet.platform.hosts.get(host)!;
    const leavesAt = new Date(fleet.clock.wallTime() + 20 * MINUTE_MS);
    fleet.platform.hosts.set(host, {
      ...known,
      state: "leaving",
      leavesAt: leavesAt.toISOString(),
    });
  },
  "maintenance of the host is near": (fleet, host) =>
    fleet.publish(MODEL, createMaintenance(fleet, host, 5)),
  "maintenance of its fabric domain is near": (fleet, host) => {
    const { fabricDomain } = fleet.platform.hosts.get(host)!;
    fleet.publish(MODEL, createMaintenance(fleet, fabricDomain, 5));
  },
};

describe("Planned leave", () => {
  let fleet: Fleet;
  let node: FleetNode;
  let first: GroupState;

  beforeEach(async () => {
    fleet = new Fleet();
    fleet.addHosts(["h1", "h2"], "fd-1");
    fleet.publish(MODEL);
    node = await fleet.start("n1");
    await fleet.untilServed(node);
    first = listServable(node)[0]!;
  });

  afterEach(() => fleet.stop());

  function isGone(): boolean {
    return listGroups(node).every(({ group }) => group !== first.group);
  }

  describe("with free hosts", () => {
    beforeEach(async () => {
      fleet.addHosts(["h3", "h4"], "fd-2");
      await fleet.clock.advance(HOST_LIST_INTERVAL_MS);
    });

    for (const [name, cause] of Object.entries(CAUSES)) {
      it(`serves without a break when ${name}`, async () => {
        cause(fleet, "h2");
        const end = fleet.clock.now() + LEAVE_LIMIT_MS;
        while (!isGone() && fleet.clock.now() < end) {
          await fleet.clock.advance(50);
          expect(listServable(node).length).toBeGreaterThan(0);
        }
        expect(isGone()).toBe(true);
        expect(listServable(node)[0]!.replaces).toBe(first.group);
      });
    }

    it("replaces a group of an older model version", async () => {
      fleet.publish(MODEL.replace("version=1", "version=2"));
      await fleet.during(LEAVE_LIMIT_MS, () => {
        expect(listServable(node).length).toBeGreaterThan(0);
      });
      const versions = listServable(node).map(({ version }) => version);
      expect(versions).toEqual(["2"]);
    });

    it("drains the replacement again when the host stays after all", async () => {
      fleet.setDrained("h2", true);
      await fleet.until(
        LEAVE_LIMIT_MS,
        () => listGroups(node).some(({ phase }) => phase === "loading"),
      );
      fleet.setDrained("h2", false);
      await fleet.clock.advance(LEAVE_LIMIT_MS);
      expect(listGroups(node).map(({ group }) => group)).toEqual([first.group]);
    });
  });

  describe("with free hosts in another data centre only", () => {
    it("serves without a break when the operator drains a host", async () => {
      fleet.addHosts(["g1", "g2"], "fd-2", "dc-2");
      const remote = await fleet.start("n2", "dc-2");
      await fleet.untilServed(remote);
      await fleet.clock.advance(5000);
      fleet.setDrained("h2", true);
      const end = fleet.clock.now() + LEAVE_LIMIT_MS;
      while (!isGone() && fleet.clock.now() < end) {
        await fleet.clock.advance(50);
        expect(listServable(remote).length).toBeGreaterThan(0);
      }
      expect(isGone()).toBe(true);
      expect(listServable(remote)[0]!.dataCentre).toBe("dc-2");
    });
  });

  describe("without free hosts", () => {
    it("serves until shortly before the date and is empty in time", async () => {
      fleet.publish(MODEL, createMaintenance(fleet, "fd-1", 5));
      await fleet.during(2 * MINUTE_MS, () => {
        expect(listServable(node)).toHaveLength(1);
      });
      await fleet.clock.advance(2 * MINUTE_MS);
      expect(isGone()).toBe(true);
      expect(fleet.engine("h1").status.role).toBe("idle");
    });

    it("does not touch a group whose maintenance is far away", async () => {
      fleet.publish(MODEL, createMaintenance(fleet, "fd-1", 60));
      await fleet.clock.advance(MINUTE_MS);
      expect(listServable(node)).toHaveLength(1);
    });

    it("drains at once for an operator, who gives no date", async () => {
      fleet.setDrained("h2", true);
      await fleet.until(LEAVE_LIMIT_MS, isGone);
    });

    it("changes the version of one group at a time", async () => {
      fleet.addHosts(["h3", "h4"], "fd-2");
      fleet.publish(MODEL.replace("replicas=1", "replicas=2"));
      await fleet.untilServed(node, 2);
      fleet.publish(
        MODEL.replace("replicas=1", "replicas=2")
          .replace("version=1", "version=2"),
      );
      await fleet.during(LEAVE_LIMIT_MS, () => {
        expect(listServable(node).length).toBeGreaterThan(0);
      });
      const versions = listServable(node).map(({ version }) => version);
      expect(versions).toEqual(["2", "2"]);
    });
  });

  describe("fewer replicas", () => {
    it("drains the surplus and keeps the rest", async () => {
      fleet.addHosts(["h3", "h4"], "fd-2");
      fleet.publish(MODEL.replace("replicas=1", "replicas=2"));
      await fleet.untilServed(node, 2);
      fleet.publish(MODEL);
      await fleet.clock.advance(LEAVE_LIMIT_MS);
      expect(listGroups(node)).toHaveLength(1);
      expect(listServable(node)).toHaveLength(1);
    });
  });

  describe("requests in flight", () => {
    it("finish before the unload, whatever the group is drained for", async () => {
      fleet.addHosts(["h3", "h4"], "fd-2");
      const lead = fleet.engine("h1");
      const tokens = 1500;
      startRequest(lead, first.group, tokens);
      fleet.setDrained("h2", true);
      await fleet.clock.advance(tokens * STEP_MS - 1000);
      expect(lead.status.role).toBe("draining");
      expect(fleet.engine("h2").status.role).not.toBe("idle");
      await fleet.until(LEAVE_LIMIT_MS, isGone);
      expect(lead.runs.map(({ isComplete }) => isComplete)).toEqual([true]);
      expect(lead.refusedOrders).toEqual([]);
    });

    it("are not joined by new work once the drain order is given", async () => {
      const lead = fleet.engine("h1");
      startRequest(lead, first.group, 1000);
      fleet.setDrained("h2", true);
      await fleet.until(
        LEAVE_LIMIT_MS,
        () => lead.status.role === "draining",
      );
      expect(listServable(node)).toEqual([]);
    });
  });
});

function createMaintenance(fleet: Fleet, name: string, minutes: number) {
  const at = new Date(fleet.clock.wallTime() + minutes * MINUTE_MS);
  return `maintenance ${name} at=${at.toISOString()}`;
}
