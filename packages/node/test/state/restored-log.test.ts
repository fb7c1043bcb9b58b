import type { ManualClock } from "@zinniahill/kernel";
import { createPosition } from "@zinniahill/policy";
import type { ControlSnapshot } from "@zinniahill/schema";
import { LOG_END, type LogModel } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findLease, Fleet, type FleetNode } from "../groups/fleet.ts";
import { Cluster, createConfiguration, createHostDrain } from "./cluster.ts";

const LEASE_TERM_MS = 6000;
const TAKEOVER_LIMIT_MS = 4 * LEASE_TERM_MS;

/** Appends entries without records until the stream ends at an offset. */
function appendUpTo(log: LogModel, offset: number): void {
  while (log.append("control", []) < offset);
}

describe("a log that was restored from a copy", () => {
  describe("the configuration", () => {
    let cluster: Cluster;
    let clock: ManualClock;
    let log: LogModel;

    beforeEach(async () => {
      cluster = new Cluster(3);
      ({ clock } = cluster);
      ({ log } = cluster.platform);
      await cluster.startAll();
      log.append("control", [createConfiguration("c", 0, "one")]);
      await clock.advance(1000);
    });
    afterEach(() => cluster.stop());

    function listModels(): string[][] {
      return cluster.nodes.map((node) => [
        ...node.find("state").rules?.models.keys() ?? [],
      ]);
    }

    // Guards against a node that skips what took the place of lost records.
    it("is the one published after the restore, at a lost offset", async () => {
      const copy = log.copy();
      appendUpTo(log, 5);
      await clock.advance(1000);
      log.restore(copy);
      const basis = cluster.nodes[0]!.find("state").control.configuration
        .version;
      log.append("control", [createConfiguration("d", basis, "two")]);
      await clock.advance(1000);
      appendUpTo(log, 20);
      await clock.advance(10_000);
      expect(listModels()).toEqual([["two"], ["two"], ["two"]]);
    });

    // Guards against a node that goes back to an older configuration because
    // the log lost the one in force.
    it("does not revert where a node starts again", async () => {
      const copy = log.copy();
      log.append("control", [createConfiguration("d", 1, "two")]);
      await clock.advance(1000);
      expect(listModels()).toEqual([["two"], ["two"], ["two"]]);
      log.restore(copy);
      await clock.advance(1000);
      await cluster.stopNode(2);
      await cluster.startNode(2);
      await clock.advance(10_000);
      expect(listModels()).toEqual([["two"], ["two"], ["two"]]);
    });
  });

  describe("the state", () => {
    let cluster: Cluster;
    let log: LogModel;

    beforeEach(async () => {
      cluster = new Cluster(3);
      ({ log } = cluster.platform);
      await cluster.startAll();
      log.append("control", [createConfiguration("c", 0, "one")]);
      await cluster.clock.advance(1000);
    });
    afterEach(() => cluster.stop());

    function createSnapshots(): ControlSnapshot[] {
      return cluster.nodes.map((node) =>
        node.find("state").control.createSnapshot()
      );
    }

    // Guards against a checkpoint that brings lost records back for some nodes.
    it("does not come from a checkpoint under way at the restore", async () => {
      const copy = log.copy();
      log.append("control", [createHostDrain("lost", true)]);
      await cluster.clock.advance(1000);
      const [state] = createSnapshots();
      log.restore(copy);
      log.append("control", [createHostDrain("kept", false)]);
      log.append("control", [
        { kind: "checkpoint", id: "late", node: "n0", state },
      ]);
      await cluster.startNode(2);
      await cluster.clock.advance(5000);
      for (const snapshot of createSnapshots()) {
        expect(snapshot).toMatchObject({ asOf: 3, drainedHosts: [] });
      }
    });

    // Guards against a node that holds lost records against its peers, because
    // their offsets are higher, while it cannot reach the log.
    it("is taken from peers that have read the restored log", async () => {
      const copy = log.copy();
      appendUpTo(log, 20);
      await cluster.clock.advance(1000);
      cluster.platform.network.setMode("n0", LOG_END, "refuse");
      log.restore(copy);
      await cluster.clock.advance(1000);
      log.append("control", [{
        ...createConfiguration("d", 1, "two"),
        era: 1,
      }]);
      await cluster.clock.advance(10_000);
      const [version, ...others] = cluster.activeVersions;
      expect(version).toBe(createPosition(1, 2));
      expect(others).toEqual([version, version]);
    });
  });

  describe("the leases", () => {
    let fleet: Fleet;
    let first: FleetNode;

    beforeEach(() => {
      fleet = new Fleet();
      fleet.addHosts(["h1", "h2", "h3"], "fd-1");
      fleet.publish("model chat version=1 hosts=2 replicas=1");
    });
    afterEach(() => fleet.stop());

    // Guards against two nodes that both order the hosts of one scope about.
    it("have one holder where another node starts afterwards", async () => {
      first = await fleet.start("n1");
      await fleet.untilServed(first);
      const { log } = fleet.platform;
      const copy = log.copy();
      await fleet.clock.advance(LEASE_TERM_MS);
      log.restore(copy);
      const second = await fleet.start("n2");
      await fleet.until(
        TAKEOVER_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      appendUpTo(log, 20);
      let together = 0;
      await fleet.during(5 * LEASE_TERM_MS, () => {
        const holders = [first, second].filter((node) =>
          findLease(node) !== undefined
        );
        together += holders.length === 2 ? 1 : 0;
      });
      expect(together).toBe(0);
    });

    // Guards against a new holder whose orders engines take for those of an
    // earlier one, or whom they refuse because the lost number was higher.
    it("get no fencing number that a lost claim has had", async () => {
      const copy = fleet.platform.log.copy();
      appendUpTo(fleet.platform.log, 10);
      first = await fleet.start("n1");
      await fleet.untilServed(first);
      const { fence } = findLease(first)!;
      first.process.pause();
      fleet.platform.log.restore(copy);
      const second = await fleet.start("n2");
      await fleet.until(
        TAKEOVER_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      expect(findLease(second)!.fence).toBeGreaterThan(fence);
    });

    // Guards against orders to engines that ignore the number while the lost
    // claim's holder may still give some, as the restored log shows no holder.
    it("withhold orders from unfenced hosts as after an earlier holder", async () => {
      const copy = fleet.platform.log.copy();
      first = await fleet.start("n1");
      await fleet.untilServed(first);
      first.process.pause();
      fleet.platform.log.restore(copy);
      const second = await fleet.start("n2");
      await fleet.until(
        TAKEOVER_LIMIT_MS,
        () => findLease(second) !== undefined,
      );
      expect(findLease(second)!.unfencedFrom - fleet.clock.now())
        .toBeGreaterThan(LEASE_TERM_MS);
    });
  });
});
