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
      await startLoading(LONG_LOAD_MS);
      const fence = await takeOver();
      const takeover = fleet.clock.now();
      await fleet.untilServed(second);
      await fleet.clock.advance(WAIT_MS);
      const orders = fleet.engine("h2").orders;
      const own = orders.filter((order) => order.fence === fence);
      for (const { at } of own) {
        expect(at).toBeGreaterThanOrEqual(takeover + WAIT_MS - 100);
      }
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
