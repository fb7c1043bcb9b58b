import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  findLease,
  Fleet,
  type FleetNode,
  listGroups,
  listServable,
  startRequest,
} from "./fleet.ts";

const ABSENCE_MS = 5000;
const REPLACE_LIMIT_MS = 30_000;

describe("Loss of a host", () => {
  let fleet: Fleet;
  let node: FleetNode;

  async function startFleet(hosts: string[], rules: string): Promise<void> {
    fleet.addHosts(hosts, "fd-1");
    await startNode(rules);
    await fleet.untilServed(node);
  }

  async function startNode(rules: string): Promise<void> {
    fleet.publish(rules);
    node = await fleet.start("n1");
  }

  function findHeld(): string[] {
    return [...node.kernel.find("state").control.heldHosts.keys()];
  }

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(() => fleet.stop());

  describe("with one spare", () => {
    beforeEach(() =>
      startFleet(
        ["h1", "h2", "h3", "h4", "h5"],
        "model chat version=1 hosts=4 replicas=1 spares=1",
      )
    );

    for (const lost of ["h1", "h3"]) {
      it(`forms a group from the survivors and the spare when ${lost} is lost`, async () => {
        const [before] = listServable(node);
        fleet.setHost(lost, "silent");
        await fleet.until(
          REPLACE_LIMIT_MS,
          () => listServable(node).some(({ group }) => group !== before!.group),
        );
        const [after] = listServable(node);
        expect(after!.hosts).not.toContain(lost);
        expect(after!.hosts).toContain("h5");
        expect(findHeld()).toEqual([lost]);
      });
    }

    it("does not retire the group before the absence limit", async () => {
      fleet.setHost("h2", "refuse");
      await fleet.clock.advance(ABSENCE_MS - 1000);
      expect(listGroups(node).map(({ phase }) => phase)).toEqual(["ready"]);
    });

    it("keeps a lost host held until it has confirmed the unload", async () => {
      fleet.setHost("h2", "silent");
      await fleet.until(REPLACE_LIMIT_MS, () => findHeld().length === 1);
      await fleet.untilServed(node);
      expect(fleet.engine("h2").status.role).toBe("serving");
      fleet.setHost("h2", "pass");
      await fleet.until(REPLACE_LIMIT_MS, () => findHeld().length === 0);
      expect(fleet.engine("h2").status.role).toBe("idle");
    });

    it("is carried on by the next holder when the holder fails midway", async () => {
      const second = await fleet.start("n2");
      await fleet.untilServed(second);
      fleet.setHost("h2", "silent");
      await fleet.until(
        REPLACE_LIMIT_MS,
        () => listGroups(second).some(({ phase }) => phase === "draining"),
      );
      node.process.pause();
      await fleet.until(
        REPLACE_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      await fleet.untilServed(second);
      expect(listServable(second)[0]!.hosts).not.toContain("h2");
    });
  });

  describe("of a second host later", () => {
    for (const [first, second] of [["h1", "h3"], ["h2", "h3"]] as const) {
      it(`retires the group without waiting until ${second} counts as lost after ${first}`, async () => {
        await startFleet(
          ["h1", "h2", "h3", "h4", "h5", "h6"],
          "model chat version=1 hosts=4 replicas=1 spares=1",
        );
        fleet.setHost(first, "silent");
        await fleet.clock.advance(4000);
        fleet.setHost(second, "silent");
        await fleet.clock.advance(ABSENCE_MS - 500);
        expect(fleet.records("group-retired")).toHaveLength(1);
        expect(findHeld()).toEqual(expect.arrayContaining([first, second]));
        await fleet.untilServed(node);
        expect(findHeld()).toEqual([first, second]);
      });
    }
  });

  describe("while requests run", () => {
    it("unloads no host that has requests in flight", async () => {
      await startFleet(
        ["h1", "h2", "h3"],
        "model chat version=1 hosts=2 replicas=1",
      );
      const lead = fleet.engine("h1");
      startRequest(lead, listServable(node)[0]!.group, 5000);
      fleet.setHost("h2", "silent");
      await fleet.until(REPLACE_LIMIT_MS, () => findHeld().length > 0);
      expect(findHeld()).toContain("h1");
      expect(lead.orders.map(({ order }) => order)).not.toContain("unload");
      await fleet.clock.advance(5000);
      expect(lead.refusedOrders).toEqual([]);
      lead.cancel("r1");
      await fleet.untilServed(node);
      expect(listServable(node)[0]!.hosts).not.toContain("h2");
    });
  });

  describe("a member that its lead does not hear", () => {
    it("keeps the group from becoming ready, though both answer the node", async () => {
      fleet.addHosts(["h1", "h2"], "fd-1");
      const link = [fleet.address("h1"), fleet.address("h2")] as const;
      fleet.platform.network.setMode(...link, "silent");
      await startNode("model chat version=1 hosts=2 replicas=1");
      await fleet.clock.advance(2 * ABSENCE_MS);
      expect(fleet.records("group-ready")).toEqual([]);
      fleet.platform.network.setMode(...link, "pass");
      await fleet.untilServed(node);
    });
  });

  describe("a host list that is incomplete", () => {
    beforeEach(() =>
      startFleet(["h1", "h2"], "model chat version=1 hosts=2 replicas=1")
    );

    it("drains nothing when it is complete again before the limit", async () => {
      const listed = new Map(fleet.platform.hosts);
      fleet.platform.hosts.clear();
      await fleet.clock.advance(ABSENCE_MS - 2000);
      listed.forEach((host, name) => fleet.platform.hosts.set(name, host));
      await fleet.clock.advance(3000);
      expect(listServable(node)).toHaveLength(1);
      expect(fleet.records("group-draining")).toEqual([]);
    });

    it("drains the group of a host that stays away, though it answers", async () => {
      fleet.platform.hosts.delete("h2");
      await fleet.until(REPLACE_LIMIT_MS, () => listGroups(node).length === 0);
      expect(fleet.engine("h2").status.role).toBe("idle");
    });
  });

  describe("a host that restarts", () => {
    it("is loaded again in place, though that takes longer than the limit", async () => {
      const loadMs = 4 * ABSENCE_MS;
      fleet.addHosts(["s1", "s2"], "fd-0", "dc-1", { loadMs });
      await startFleet([], "model chat version=1 hosts=2 replicas=1");
      const [group] = listServable(node);
      fleet.engine("s2").reset();
      await fleet.clock.advance(ABSENCE_MS);
      expect(listServable(node)).toEqual([]);
      await fleet.untilServed(node);
      expect(listServable(node)[0]!.group).toBe(group!.group);
      expect(fleet.engine("s1").orders).toHaveLength(1);
    });
  });

  describe("a host that never settles", () => {
    it("is replaced in the end, as its group would never serve again", async () => {
      await startFleet(
        ["h1", "h2", "h3"],
        "model chat version=1 hosts=2 replicas=1",
      );
      const deadline = fleet.clock.now() + 60_000;
      let isUp = false;
      while (fleet.clock.now() < deadline && listGroupsWith("h2") > 0) {
        fleet.setHost("h2", isUp ? "pass" : "refuse");
        isUp = !isUp;
        await fleet.clock.advance(1200);
      }
      expect(listGroupsWith("h2")).toBe(0);
    });
  });

  describe("the whole fabric domain", () => {
    it("moves the replica to a domain of another data centre", async () => {
      fleet.addHosts(["g1", "g2"], "fd-2", "dc-2");
      await startFleet(
        ["h1", "h2"],
        "model chat version=1 hosts=2 replicas=1",
      );
      const remote = await fleet.start("n2", "dc-2");
      await fleet.untilServed(remote);
      const dark = listServable(remote)[0]!;
      dark.hosts.forEach((host) => fleet.setHost(host, "silent"));
      await fleet.until(
        REPLACE_LIMIT_MS,
        () =>
          listServable(remote).some(({ dataCentre }) =>
            dataCentre !== dark.dataCentre
          ),
      );
    });
  });

  function listGroupsWith(host: string): number {
    return listGroups(node).filter(({ hosts, phase }) =>
      hosts.includes(host) && phase !== "draining"
    ).length;
  }
});
