import type { PeerMessage } from "@zinniahill/schema";
import { afterEach, describe, expect, it } from "vitest";
import { Cluster, createPeerAddress } from "../state/cluster.ts";

const SIZE = 24;
const LIMIT = 6;
const EVIDENCE: PeerMessage = {
  kind: "evidence",
  hosts: [{ host: "h1", missing: true, ageMs: 0 }],
};

describe("Peers in a deployment with many nodes", () => {
  let cluster: Cluster;
  afterEach(() => cluster.stop());

  async function start(): Promise<void> {
    cluster = new Cluster(SIZE, () => ({
      limits: [`peer-connections = ${LIMIT}`],
    }));
    // Nodes that start one after another connect to replacements first.
    await cluster.startAll(15_000);
  }

  /** Nodes that evidence of the first node reaches, and how often. */
  async function countDeliveries(): Promise<number[]> {
    const counts = cluster.nodes.map(() => 0);
    for (const [index, node] of cluster.nodes.entries()) {
      node.find("peers").onMessage("evidence", (origin) => {
        counts[index]! += origin === "n0" ? 1 : 0;
      });
    }
    cluster.nodes[0]!.find("peers").broadcast(EVIDENCE);
    await cluster.clock.advance(100);
    return counts;
  }

  describe("connections", () => {
    it("holds the same number at every node", async () => {
      await start();
      const counts = cluster.nodes.map((node) =>
        node.find("peers").list().length
      );
      expect(new Set(counts)).toEqual(new Set([LIMIT]));
    });

    it("join again after a partition into two halves", async () => {
      await start();
      const setLinks = (mode: "refuse" | "pass") => {
        for (let from = 0; from < SIZE / 2; from++) {
          for (let to = SIZE / 2; to < SIZE; to++) {
            const ends = [createPeerAddress(from), createPeerAddress(to)];
            cluster.platform.network.setMode(ends[0]!, ends[1]!, mode);
            cluster.platform.network.setMode(ends[1]!, ends[0]!, mode);
          }
        }
      };
      setLinks("refuse");
      await cluster.clock.advance(30_000);
      const split = await countDeliveries();
      expect(split.slice(1, SIZE / 2).every((count) => count === 1)).toBe(true);
      expect(split.slice(SIZE / 2).every((count) => count === 0)).toBe(true);
      setLinks("pass");
      await cluster.clock.advance(15_000);
      const counts = cluster.nodes.map((node) =>
        node.find("peers").list().length
      );
      expect(Math.max(...counts)).toBeLessThanOrEqual(LIMIT);
      expect((await countDeliveries()).slice(1).every((count) => count === 1))
        .toBe(true);
    });
  });

  describe("replacements", () => {
    it("take the place of peers that are gone", async () => {
      await start();
      const gone = Array.from({ length: SIZE / 2 }, (_, half) => 2 * half);
      for (const index of gone) {
        await cluster.stopNode(index);
      }
      await cluster.clock.advance(15_000);
      const degrees = cluster.nodes
        .filter((_, index) => !gone.includes(index))
        .map((node) => node.find("peers").list().length);
      expect(Math.min(...degrees)).toBeGreaterThanOrEqual(LIMIT / 2);
    });
  });

  describe("messages that are passed on", () => {
    it("reach every node once", async () => {
      await start();
      const counts = await countDeliveries();
      expect(counts).toEqual([0, ...Array.from({ length: SIZE - 1 }, () => 1)]);
    });

    it("reach the others when a third of the nodes is gone", async () => {
      await start();
      for (let index = 1; index < SIZE; index += 3) {
        await cluster.stopNode(index);
      }
      await cluster.clock.advance(10_000);
      const counts = await countDeliveries();
      const live = counts.filter((_, index) => index % 3 !== 1);
      expect(live).toEqual([0, ...live.slice(1).map(() => 1)]);
    });
  });
});
