import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  findLease,
  Fleet,
  type FleetNode,
  listServable,
  startRequest,
} from "./fleet.ts";

/** The bound of P6 for new work after the announcement. */
const NEW_WORK_LIMIT_MS = 5000;
const GRACE_MS = 3000;
const MINUTE_MS = 60_000;

/** How a departure without a date is announced. */
const ANNOUNCEMENTS: Readonly<
  Record<string, (fleet: Fleet, host: string) => void>
> = {
  "the operator drains it": (fleet, host) => fleet.setDrained(host, true),
  "the host list says it leaves": (fleet, host) => {
    const known = fleet.platform.hosts.get(host)!;
    fleet.platform.hosts.set(host, { ...known, state: "leaving" });
  },
};

function listObstacles({ kernel }: FleetNode): (string | undefined)[] {
  return [...kernel.find("state").control.groups.values()]
    .map((group) => kernel.find("evidence").findObstacle(group));
}

describe("Departure of a host", () => {
  let fleet: Fleet;
  let holder: FleetNode;
  let other: FleetNode;

  beforeEach(async () => {
    fleet = new Fleet();
    fleet.addHosts(["h1", "h2"], "fd-1");
    fleet.publish("model chat version=1 hosts=2 replicas=1");
    holder = await fleet.start("n1");
    await fleet.untilServed(holder);
    other = await fleet.start("n2");
    await fleet.untilServed(other);
    expect(findLease(holder)).toBeDefined();
  });

  afterEach(() => fleet.stop());

  for (const [name, announce] of Object.entries(ANNOUNCEMENTS)) {
    describe(`when ${name} while the lease holder is dead`, () => {
      beforeEach(() => holder.process.pause());

      it("ends new work within the bound, though nobody drains", async () => {
        announce(fleet, "h2");
        await fleet.clock.advance(NEW_WORK_LIMIT_MS);
        expect(listServable(other)).toEqual([]);
        expect(fleet.records("group-draining")).toEqual([]);
      });

      it("goes on with new work during the grace", async () => {
        announce(fleet, "h2");
        await fleet.during(GRACE_MS - 100, () => {
          expect(listServable(other)).toHaveLength(1);
        });
      });

      it("leaves requests in flight alone", async () => {
        const lead = fleet.engine("h1");
        startRequest(lead, listServable(other)[0]!.group, 300);
        announce(fleet, "h2");
        await fleet.clock.advance(NEW_WORK_LIMIT_MS);
        expect(listServable(other)).toEqual([]);
        await fleet.clock.advance(2000);
        expect(lead.runs.map(({ isComplete }) => isComplete)).toEqual([true]);
      });

      it("counts the time for which a node was paused meanwhile", async () => {
        const pauseMs = 2500;
        other.process.pause();
        announce(fleet, "h2");
        await fleet.clock.advance(pauseMs);
        other.process.resume();
        await fleet.clock.advance(GRACE_MS - pauseMs + 900);
        expect(listServable(other)).toEqual([]);
        expect(fleet.records("group-draining")).toEqual([]);
        expect(listObstacles(other)).toEqual(["host h2 is leaving"]);
      });

      it("gives no new work on a node that starts after it", async () => {
        announce(fleet, "h2");
        await fleet.clock.advance(NEW_WORK_LIMIT_MS);
        const late = await fleet.start("n3");
        await fleet.during(GRACE_MS, () => {
          expect(listServable(late)).toEqual([]);
        });
      });
    });
  }

  describe("when a date is known", () => {
    beforeEach(() => holder.process.pause());

    async function announceIn(ms: number): Promise<void> {
      const known = fleet.platform.hosts.get("h2")!;
      const leavesAt = new Date(fleet.clock.wallTime() + ms).toISOString();
      fleet.platform.hosts.set("h2", { ...known, state: "leaving", leavesAt });
      await fleet.clock.advance(NEW_WORK_LIMIT_MS);
    }

    it("ends new work once the drain is due", async () => {
      await announceIn(MINUTE_MS);
      expect(listServable(other)).toEqual([]);
    });

    it("keeps serving while the date is far", async () => {
      await announceIn(20 * MINUTE_MS);
      expect(listServable(other)).toHaveLength(1);
    });
  });

  describe("when the operator takes the command back", () => {
    it("counts a new grace from the next command", async () => {
      holder.process.pause();
      fleet.setDrained("h2", true);
      await fleet.clock.advance(1000);
      fleet.setDrained("h2", false);
      await fleet.clock.advance(200);
      fleet.setDrained("h2", true);
      await fleet.clock.advance(GRACE_MS - 500);
      expect(listServable(other)).toHaveLength(1);
    });
  });
});
