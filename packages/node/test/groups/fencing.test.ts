import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { EngineOrder } from "@zinniahill/schema";
import { findLease, Fleet, type FleetNode, listServable } from "./fleet.ts";

const TERM_MS = 6000;
const LONGEST_ORDER_MS = 5000;
const WAIT_MS = TERM_MS + LONGEST_ORDER_MS;
const TAKEOVER_LIMIT_MS = 2 * TERM_MS;
const LONG_LOAD_MS = 9000;
const RULES = "model chat version=1 hosts=2 replicas=1";

describe("Orders", () => {
  let fleet: Fleet;
  let first: FleetNode;
  let second: FleetNode;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(() => fleet.stop());

  /** Starts a fleet whose hosts take long to load, as the lease changes. */
  async function startLoading(loadMs: number): Promise<void> {
    fleet.addHosts(["h1"], "fd-1", "dc-1", { loadMs });
    fleet.addHosts(["h2"], "fd-1", "dc-1", { loadMs, checksFence: false });
    fleet.publish(RULES, "fencing h2 mode=ignored");
    first = await fleet.start("n1");
    second = await fleet.start("n2");
    await fleet.until(
      TAKEOVER_LIMIT_MS,
      () => fleet.engine("h2").orders.length > 0,
    );
  }

  async function takeOver(): Promise<number> {
    const old = findLease(first) === undefined ? second : first;
    const next = old === first ? second : first;
    old.process.pause();
    await fleet.until(TAKEOVER_LIMIT_MS, () => findLease(next) !== undefined);
    [first, second] = [old, next];
    return findLease(second)!.fence;
  }

  /** An order of a holder whose lease has moved on, which arrives late. */
  function createStaleOrder(
    order: EngineOrder["order"],
    fence: number,
    group: string,
  ): EngineOrder {
    return {
      id: "late",
      order,
      fence,
      group,
      model: "chat",
      version: "1",
      hosts: [],
      rank: 1,
    };
  }

  describe("to an engine that checks the fencing number", () => {
    it("are refused when they are of an earlier holder", async () => {
      await startLoading(500);
      await fleet.untilServed(second);
      const [group] = listServable(second);
      const oldFence = group!.fence;
      await takeOver();
      fleet.engine("h1").reset();
      await fleet.untilServed(second, 0);
      await fleet.untilServed(second);
      const late = createStaleOrder("unload", oldFence, group!.group);
      expect(fleet.engine("h1").carryOut(late)).toBe("stale-fence");
    });
  });

  describe("to an engine that ignores the fencing number", () => {
    it("are withheld until no order of the earlier holder is under way", async () => {
      await startLoading(500);
      await fleet.untilServed(second);
      const fence = await takeOver();
      const takeover = fleet.clock.now();
      fleet.engine("h2").reset();
      await fleet.clock.advance(2 * WAIT_MS);
      const own = fleet.engine("h2").orders
        .filter((order) => order.fence === fence);
      expect(own.map(({ order }) => order)).toEqual(["load"]);
      expect(own[0]!.at).toBeGreaterThanOrEqual(takeover + WAIT_MS - 100);
    });

    it("do not make a group ready by a role that was read too early", async () => {
      await startLoading(3000);
      await takeOver();
      const group = fleet.engine("h2").status.group;
      const { unfencedFrom } = findLease(second)!;
      await fleet.until(
        WAIT_MS,
        () => fleet.clock.now() >= unfencedFrom - 300,
      );
      // The order comes after the last probe before the wait ends.
      second.kernel.find("evidence").noteSuspect(group);
      await fleet.clock.advance(50);
      const late = createStaleOrder("unload", 1, group);
      expect(fleet.engine("h2").carryOut(late)).toBeUndefined();
      await fleet.until(
        TAKEOVER_LIMIT_MS,
        () => fleet.records("group-ready").length > 0,
      );
      expect(fleet.engine("h2").status.role).toBe("serving");
    });

    it("are not needed by a reader to see a role that the lead does not see", async () => {
      await startLoading(500);
      await fleet.untilServed(first);
      await fleet.untilServed(second);
      await fleet.clock.advance(3000);
      const holder = findLease(first) === undefined ? second : first;
      const reader = holder === first ? second : first;
      holder.process.pause();
      const [group] = listServable(reader);
      const late = createStaleOrder("drain", 1, group!.group);
      expect(fleet.engine("h2").carryOut(late)).toBeUndefined();
      await fleet.clock.advance(2500);
      expect(listServable(reader)).toEqual([]);
    });

    it("let the group become ready only after the role is read back", async () => {
      await startLoading(LONG_LOAD_MS);
      await takeOver();
      const takeover = fleet.clock.now();
      await fleet.untilServed(second);
      expect(fleet.clock.now()).toBeGreaterThanOrEqual(
        takeover + WAIT_MS - 100,
      );
    });

    it("are corrected when a late order of an earlier holder took effect", async () => {
      await startLoading(500);
      await fleet.untilServed(second);
      const [group] = listServable(second);
      await takeOver();
      await fleet.clock.advance(2 * WAIT_MS);
      const late = createStaleOrder("unload", group!.fence, group!.group);
      expect(fleet.engine("h2").carryOut(late)).toBeUndefined();
      await fleet.until(3000, () => listServable(second).length === 0);
      await fleet.untilServed(second);
      expect(listServable(second)[0]!.group).toBe(group!.group);
      expect(fleet.engine("h2").orders.at(-1)?.order).toBe("load");
    });
  });

  describe("to load", () => {
    it("are given only with a grant of the weight store", async () => {
      fleet.addHosts(["h1", "h2"], "fd-1");
      fleet.publish(RULES);
      second = await fleet.start("n2");
      fleet.platform.network.setMode("n2", "weight-store", "silent");
      await fleet.clock.advance(20_000);
      expect(fleet.engine("h1").orders).toEqual([]);
      fleet.platform.network.setMode("n2", "weight-store", "pass");
      await fleet.untilServed(second);
    });
  });

  describe("of a holder that is paused in the middle of a step", () => {
    beforeEach(async () => {
      fleet.addHosts(["h1", "h2"], "fd-1");
      fleet.addHosts(["h3", "h4"], "fd-2");
      fleet.publish(RULES.replace("replicas=1", "replicas=2"));
      second = await fleet.start("n2");
    });

    it("are not given after the deadline, though the step goes on", async () => {
      const { network } = fleet.platform;
      const call = network.call.bind(network);
      network.call = (from, to, ...rest) => {
        if (to === "weight-store") {
          second.process.pause();
        }
        return call(from, to, ...rest);
      };
      await fleet.clock.advance(TAKEOVER_LIMIT_MS);
      network.call = call;
      const [claim] = fleet.platform.log.entries("control")
        .filter(({ records }) =>
          records.some((record) => JSON.stringify(record).includes('"lease"'))
        );
      second.process.resume();
      await fleet.untilServed(second, 2);
      const fences = [...fleet.platform.engines.values()]
        .flatMap(({ orders }) => orders.map(({ fence }) => fence));
      expect(fences).not.toContain(claim!.offset);
    });

    it("are not followed by a record after the deadline", async () => {
      while (fleet.records("group-assigned").length === 0) {
        await fleet.clock.advance(0.25);
      }
      second.process.pause();
      await fleet.clock.advance(TAKEOVER_LIMIT_MS);
      second.process.resume();
      await fleet.untilServed(second, 2);
      const fences = fleet.records("group-assigned").map(({ fence }) => fence);
      expect(new Set(fences).size).toBe(2);
    });
  });

  describe("that a host has a role of another group", () => {
    it("are corrected by an unload before the host is loaded", async () => {
      fleet.addHosts(["h1", "h2"], "fd-1");
      const strange = createStaleOrder("load", 0, "unknown-group");
      fleet.engine("h2").carryOut({ ...strange, rank: 0 });
      fleet.publish(RULES);
      second = await fleet.start("n2");
      await fleet.untilServed(second);
      const orders = fleet.engine("h2").orders.map(({ order }) => order);
      expect(orders).toEqual(["load", "unload", "load"]);
    });
  });
});
