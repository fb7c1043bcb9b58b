import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findLease, Fleet, type FleetNode, listGroups } from "./fleet.ts";

const TERM_MS = 6000;
const TAKEOVER_LIMIT_MS = 2 * TERM_MS;

describe("Leases", () => {
  let fleet: Fleet;
  let first: FleetNode;
  let second: FleetNode;

  beforeEach(async () => {
    fleet = new Fleet();
    fleet.addHosts(["h1", "h2", "h3"], "fd-1");
    fleet.publish("model chat version=1 hosts=2 replicas=1");
    first = await fleet.start("n1");
    await fleet.untilServed(first);
    second = await fleet.start("n2");
    await fleet.untilServed(second);
  });

  afterEach(() => fleet.stop());

  describe("a claim", () => {
    it("is refused while another holder renews, so one node holds at a time", async () => {
      await fleet.during(5 * TERM_MS, () => {
        expect(findLease(first)).toBeDefined();
        expect(findLease(second)).toBeUndefined();
      });
    });

    it("counts although its reply was lost, because the log was read", async () => {
      fleet.platform.network.setMode("n1", "log", "refuse");
      fleet.platform.log.faults.repliesToLose = 1;
      await fleet.until(
        2 * TAKEOVER_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      expect(fleet.platform.log.faults.repliesToLose).toBe(0);
    });
  });

  describe("a renewal", () => {
    it("counts although its reply was lost, so the holder does not change", async () => {
      const fence = findLease(first)!.fence;
      fleet.platform.log.faults.repliesToLose = 3;
      await fleet.during(4 * TERM_MS, () => {
        expect(findLease(first)?.fence).toBe(fence);
      });
      expect(fleet.platform.log.faults.repliesToLose).toBe(0);
    });
  });

  describe("a paused holder", () => {
    it("gives no order and appends nothing accepted after its deadline", async () => {
      const { fence } = findLease(first)!;
      fleet.setHost("h1", "silent");
      await fleet.clock.advance(1000);
      first.process.pause();
      await fleet.until(
        TAKEOVER_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      const takeover = findLease(second)!.fence;
      const ordersBefore = countOrders(fleet, fence);
      first.process.resume();
      await fleet.clock.advance(200);
      expect(findLease(first)).toBeUndefined();
      await fleet.during(2 * TERM_MS, () => {
        expect(countOrders(fleet, fence)).toBe(ordersBefore);
        expect(findLease(first)).toBeUndefined();
      });
      for (const group of listGroups(second)) {
        const isOld = group.phase === "ready" && group.fence === fence;
        expect(isOld || group.fence >= takeover).toBe(true);
      }
    });

    it("does nothing on waking even when nobody else claimed the lease", async () => {
      second.process.pause();
      first.process.pause();
      await fleet.clock.advance(2 * TERM_MS);
      const before = fleet.platform.log.entries("control").length;
      first.process.resume();
      expect(findLease(first)).toBeUndefined();
      await fleet.clock.advance(100);
      const added = fleet.platform.log.entries("control").slice(before)
        .flatMap(({ records }) => records);
      expect(added).toEqual([]);
    });
  });

  describe("a stopping node", () => {
    it("stops renewing and claims nothing, so another node takes over", async () => {
      first.kernel.find("lifecycle").drain();
      const renewals = () =>
        fleet.records("lease").filter(({ node }) => node === "n1").length;
      const before = renewals();
      await fleet.until(
        TAKEOVER_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      expect(renewals() - before).toBeLessThanOrEqual(1);
      second.process.pause();
      await fleet.clock.advance(4 * TERM_MS);
      expect(findLease(first)).toBeUndefined();
    });
  });
});

function countOrders(fleet: Fleet, fence: number): number {
  return [...fleet.platform.engines.values()]
    .flatMap(({ orders }) => orders)
    .filter((order) => order.fence === fence).length;
}
