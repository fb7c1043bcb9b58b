import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { PeerTree, UsageTotals } from "../src/index.ts";

const TIMEOUT_MS = 4000;
const SIZE = 8;

describe("PeerTree", () => {
  describe("nodes in a ring", () => {
    const createRing = () =>
      Array.from(
        { length: SIZE },
        (_, index) => new PeerTree(`n${index}`, 1, TIMEOUT_MS, 0),
      );
    const exchange = (trees: PeerTree[], from: number, now: number) => {
      for (const to of [(from + 1) % SIZE, (from + SIZE - 1) % SIZE]) {
        trees[to]!.updateNeighbour(`n${from}`, trees[from]!.position, now);
      }
    };

    it("have parents without a cycle, in whatever order they report", () => {
      const order = fc.array(fc.nat(SIZE - 1), { maxLength: 200 });
      fc.assert(
        fc.property(order, (senders) => {
          const trees = createRing();
          for (const [step, sender] of senders.entries()) {
            trees[sender]!.advance(step + 2, 0);
            exchange(trees, sender, 0);
            for (let index = 0; index < SIZE; index++) {
              let at = `n${index}`;
              for (let hops = 0; at !== ""; hops++) {
                expect(hops).toBeLessThanOrEqual(SIZE);
                at = trees[Number(at.slice(1))]!.position.parent;
              }
            }
          }
        }),
        { seed: 1, numRuns: 200 },
      );
    });

    it("do not accept a lost root again from a late neighbour", () => {
      const trees = createRing();
      exchange(trees, 0, 0);
      exchange(trees, 1, 0);
      trees[1]!.advance(9, TIMEOUT_MS + 1);
      expect(trees[1]!.position.root).toBe("n1");
      trees[1]!.updateNeighbour("n2", trees[2]!.position, TIMEOUT_MS + 1);
      expect(trees[1]!.position.root).toBe("n1");
    });
  });
});

describe("UsageTotals", () => {
  describe("links", () => {
    const usage = {
      account: "a",
      requests: 3,
      tokens: 5,
      streams: 2,
      users: 1,
    };

    it("receive the usage of others once, and never their own", () => {
      const totals = new UsageTotals();
      totals.setLinks(["up", "down"], "up");
      totals.addLinkUsage("down", [usage]);
      expect(totals.takeUsageFor("down")).toBe(undefined);
      expect(totals.takeUsageFor("up")).toEqual([usage]);
      expect(totals.takeUsageFor("up"))
        .toEqual([{ ...usage, requests: 0, tokens: 0 }]);
    });

    it("send the next parent what was not sent to a lost one", () => {
      const totals = new UsageTotals();
      totals.setLinks(["up"], "up");
      totals.addOwnUsage([usage]);
      totals.setLinks(["next"], "next");
      expect(totals.takeUsageFor("next")).toEqual([usage]);
    });
  });
});
