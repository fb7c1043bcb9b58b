import type { PeerTransport } from "@zinniahill/node";
import { LOG_END } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Cluster, createConfiguration, createPeerAddress } from "./cluster.ts";

describe("recovery of the control state", () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = new Cluster(4);
    await cluster.startAll();
    const { log } = cluster.platform;
    log.append("control", [createConfiguration("c", 0, "one")]);
    log.append("control", [createConfiguration("d", 1, "two")]);
    await cluster.clock.advance(1000);
  });
  afterEach(() => cluster.stop());

  describe("while the log is down", () => {
    it("gives a node without state the version of its peers", async () => {
      cluster.platform.log.faults.isDown = true;
      await cluster.stopNode(0);
      await cluster.startNode(0);
      await cluster.clock.advance(5000);
      expect(cluster.activeVersions).toEqual([2, 2, 2, 2]);
    });

    describe("when peers hold different versions", () => {
      /** Makes nodes 1 and 2 miss version 3, with no link to node 3. */
      async function isolateStaleNodes(): Promise<void> {
        const { network, log } = cluster.platform;
        const aheadAddress = createPeerAddress(3);
        for (const stale of [1, 2]) {
          const address = createPeerAddress(stale);
          network.setMode(`n${stale}`, LOG_END, "refuse");
          network.setMode(address, aheadAddress, "refuse");
          network.setMode(aheadAddress, address, "refuse");
          network.setMode(address, createPeerAddress(0), "refuse");
          network.setMode(createPeerAddress(0), address, "refuse");
        }
        await cluster.clock.advance(5000);
        log.append("control", [createConfiguration("e", 2, "three")]);
        await cluster.clock.advance(1000);
        expect(cluster.activeVersions).toEqual([3, 2, 2, 3]);
        log.faults.isDown = true;
        await cluster.stopNode(0);
        for (const stale of [1, 2]) {
          const address = createPeerAddress(stale);
          network.setMode(address, createPeerAddress(0), "pass");
          network.setMode(createPeerAddress(0), address, "pass");
        }
      }

      /** Collects the versions that node 0 puts in force. */
      async function collectVersions(): Promise<number[]> {
        const seen = new Set<number>();
        await cluster.advanceUntil(10_000, () => {
          seen.add(cluster.activeVersions[0]!);
          return false;
        });
        return [...seen];
      }

      it("adopts the highest version and never a lower one before it", async () => {
        await isolateStaleNodes();
        await cluster.startNode(0);
        expect(await collectVersions()).toEqual([0, 3]);
        expect(cluster.activeVersions).toEqual([3, 3, 3, 3]);
      });

      it("waits for a peer whose connection is slow", async () => {
        await isolateStaleNodes();
        const transport = cluster.createTransport(0);
        const peerTransport: PeerTransport = {
          listen: (address) => transport.listen(address, () => {}),
          connect: async (address, signal) => {
            const delayMs = address === createPeerAddress(3) ? 2000 : 0;
            await cluster.clock.sleep(delayMs, signal);
            return transport.connect(address, signal);
          },
        };
        await cluster.startNode(0, { peerTransport });
        expect(await collectVersions()).toEqual([0, 3]);
      });
    });

    it("continues from the peers' state when the log is reachable again", async () => {
      const { log } = cluster.platform;
      log.faults.isDown = true;
      await cluster.stopNode(0);
      await cluster.startNode(0);
      await cluster.clock.advance(5000);
      log.faults.isDown = false;
      log.append("control", [createConfiguration("e", 2, "three")]);
      await cluster.clock.advance(2000);
      expect(cluster.activeVersions).toEqual([3, 3, 3, 3]);
      const snapshots = cluster.nodes.map((node) =>
        node.find("state").control.createSnapshot()
      );
      for (const snapshot of snapshots) {
        expect(snapshot).toEqual(snapshots[0]);
      }
    });

    it("has no rules and reports why without log and peers", async () => {
      cluster.platform.log.faults.isDown = true;
      await cluster.stopNode(0);
      cluster.platform.network.setModeOfEnd(createPeerAddress(0), "silent");
      const node = await cluster.startNode(0);
      await cluster.clock.advance(20_000);
      expect(node.find("state").rules).toBeUndefined();
      expect(node.dump()).toMatchObject({
        state: { obstacle: expect.stringContaining("no peer") },
      });
    });

    it("gives a new version to a node that cannot reach the log", async () => {
      const { network, log } = cluster.platform;
      network.setModeOfEnd("n3", "silent");
      await cluster.clock.advance(5000);
      log.append("control", [createConfiguration("e", 2, "three")]);
      await cluster.clock.advance(7000);
      expect(cluster.activeVersions).toEqual([3, 3, 3, 3]);
    });
  });

  describe("while no checkpoint is retained", () => {
    it("starts from the peers' state and then follows the log", async () => {
      const { log } = cluster.platform;
      log.expire("control", 2);
      await cluster.stopNode(0);
      await cluster.startNode(0);
      await cluster.clock.advance(5000);
      log.append("control", [createConfiguration("e", 2, "three")]);
      await cluster.clock.advance(1000);
      expect(cluster.activeVersions).toEqual([3, 3, 3, 3]);
    });
  });
});
