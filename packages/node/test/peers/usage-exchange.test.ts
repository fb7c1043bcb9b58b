import { decodePeerMessage, type PeerMessage } from "@zinniahill/schema";
import { afterEach, describe, expect, it } from "vitest";
import { Cluster, createPeerAddress } from "../state/cluster.ts";

/** Bytes a second that control may cost a node, in both directions. */
const BYTES_PER_SECOND = 5000;
const SIZE = Number(process.env.ZINNIAHILL_NODES ?? 40);
const MEASURED_MS = 10_000;

interface Use {
  requests: number;
  streams: number;
}

/** What each node has heard of the others' use of the account `a0`. */
function listenForUse(cluster: Cluster): Use[] {
  return cluster.nodes.map((node) => {
    const use = { requests: 0, streams: 0 };
    node.find("peers").onMessage("usage", (_origin, { accounts }) => {
      use.streams = 0;
      for (const { account, requests, streams } of accounts) {
        use.requests += account === "a0" ? requests : 0;
        use.streams += account === "a0" ? streams : 0;
      }
    });
    return use;
  });
}

/** Lets one node report what its callers used. */
function report(cluster: Cluster, index: number, accounts: number): void {
  cluster.nodes[index]!.find("peers").broadcast({
    kind: "usage",
    sequence: cluster.clock.now(),
    accounts: Array.from({ length: accounts }, (_, account) => ({
      account: `a${account}`,
      requests: 1,
      tokens: 250,
      streams: 2,
    })),
  });
}

/** Bytes that each node sends, and those of one kind of message. */
function countBytes(cluster: Cluster) {
  const total = new Map<string, number>();
  const kinds = new Map<PeerMessage["kind"], number>();
  cluster.transports.onSend = (address, bytes) => {
    total.set(address, (total.get(address) ?? 0) + bytes.length);
    const message = decodePeerMessage(bytes);
    if (message.isOk) {
      const { kind } = message.value;
      kinds.set(kind, (kinds.get(kind) ?? 0) + bytes.length);
    }
  };
  return { total, kinds };
}

function listOthers(use: readonly Use[], field: keyof Use): Set<number> {
  return new Set(use.map((each) => each[field]));
}

describe("Usage where not every node is connected to every other one", () => {
  let cluster: Cluster;
  afterEach(() => cluster.stop());

  async function start(size: number): Promise<void> {
    cluster = new Cluster(size);
    await cluster.startAll(15_000);
  }

  /** Every node reports at an interval, as admission does. */
  async function run(
    durationMs: number,
    accounts: number,
    live: readonly number[] = [...cluster.nodes.keys()],
  ): Promise<number> {
    let rounds = 0;
    for (let at = 0; at < durationMs; at += 500) {
      for (const index of live) {
        report(cluster, index, accounts);
      }
      rounds++;
      await cluster.clock.advance(500);
    }
    return rounds;
  }

  describe("totals", () => {
    it("charge each node once with the use of every other one", async () => {
      await start(24);
      const use = listenForUse(cluster);
      const rounds = await run(5000, 1);
      await cluster.clock.advance(10_000);
      expect(listOthers(use, "requests")).toEqual(new Set([23 * rounds]));
      expect(listOthers(use, "streams")).toEqual(new Set([46]));
    });

    it("forget the streams of a node that is gone", async () => {
      await start(24);
      const use = listenForUse(cluster);
      await run(2000, 1);
      await cluster.stopNode(0);
      await cluster.stopNode(7);
      await cluster.clock.advance(20_000);
      const live = use.filter((_, index) => index !== 0 && index !== 7);
      expect(listOthers(live, "streams")).toEqual(new Set([42]));
    });

    it("cover each side of a partition, and all nodes after it", async () => {
      await start(24);
      const use = listenForUse(cluster);
      const setLinks = (mode: "refuse" | "pass") => {
        for (let from = 0; from < 12; from++) {
          for (let to = 12; to < 24; to++) {
            const ends = [createPeerAddress(from), createPeerAddress(to)];
            cluster.platform.network.setMode(ends[0]!, ends[1]!, mode);
            cluster.platform.network.setMode(ends[1]!, ends[0]!, mode);
          }
        }
      };
      setLinks("refuse");
      await run(30_000, 1);
      expect(listOthers(use, "streams")).toEqual(new Set([22]));
      setLinks("pass");
      await run(30_000, 1);
      expect(listOthers(use, "streams")).toEqual(new Set([46]));
    });
  });

  describe("errors while the tree changes", () => {
    it("lose at most 2 s of use for each change and repeat less", async () => {
      await start(24);
      const use = listenForUse(cluster);
      let rounds = await run(2000, 1);
      // The root and one inner node restart one after another.
      for (const index of [0, 9]) {
        await cluster.stopNode(index);
        const live = [...cluster.nodes.keys()].filter((at) => at !== index);
        rounds += await run(10_000, 1, live);
        await cluster.startNode(index);
        await run(0, 1);
      }
      await cluster.clock.advance(10_000);
      const kept = use.filter((_, index) => index !== 0 && index !== 9);
      const whole = 23 * rounds - 2 * 20;
      const errors = kept.map(({ requests }) => requests - whole);
      console.log(
        `errors of ${whole}: ${Math.min(...errors)} to ${Math.max(...errors)}`,
      );
      expect(Math.max(...errors)).toBeLessThanOrEqual(2 * 23);
      // Two nodes stop and return; each other one reports twice a second.
      expect(Math.min(...errors)).toBeGreaterThanOrEqual(-4 * 2 * 2 * 23);
    });
  });

  describe("delay", () => {
    it.each([10, 100])(
      "ends at every node with %i active accounts",
      async (accounts) => {
        await start(SIZE);
        await run(10_000, accounts);
        const marked = new Set<number>();
        for (const [index, node] of cluster.nodes.entries()) {
          node.find("peers").onMessage("usage", (_origin, message) => {
            if (message.accounts.some(({ account }) => account === "mark")) {
              marked.add(index);
            }
          });
        }
        cluster.nodes[1]!.find("peers").broadcast({
          kind: "usage",
          sequence: 1,
          accounts: [{ account: "mark", requests: 1, tokens: 1, streams: 0 }],
        });
        let delayMs = 0;
        while (marked.size < SIZE - 1 && delayMs < 120_000) {
          await run(500, accounts);
          delayMs += 500;
        }
        console.log(`${SIZE} nodes, ${accounts} accounts: ${delayMs} ms`);
        expect(marked.size).toBe(SIZE - 1);
      },
    );
  });

  describe("bytes", () => {
    it.each([10, 100])(
      "stay within the allowance with %i active accounts",
      async (accounts) => {
        await start(SIZE);
        await run(5000, accounts);
        const { total, kinds } = countBytes(cluster);
        await run(MEASURED_MS, accounts);
        const seconds = MEASURED_MS / 1000;
        const rates = [...total.values()].map((bytes) => bytes / seconds);
        const mean = rates.reduce((sum, rate) => sum + rate, 0) / SIZE;
        const byKind = [...kinds].map(([kind, bytes]) =>
          `${kind} ${Math.round(bytes / seconds / SIZE)}`
        );
        console.log(
          `${SIZE} nodes, ${accounts} accounts: mean ${Math.round(mean)}`,
          `highest ${Math.round(Math.max(...rates))}; ${byKind.join(", ")}`,
        );
        expect(2 * Math.max(...rates)).toBeLessThan(BYTES_PER_SECOND);
      },
    );
  });
});
