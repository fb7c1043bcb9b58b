import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { PeerTree, UsageTotals } from "../src/index.ts";

const VALIDITY_MS = 4000;
const SIZE = 8;

describe("PeerTree", () => {
  describe("nodes in a ring", () => {
    const createRing = () =>
      Array.from(
        { length: SIZE },
        (_, index) => new PeerTree(`n${index}`, 1, VALIDITY_MS, 0),
      );
    const exchange = (trees: PeerTree[], from: number, now: number) => {
      for (const to of [(from + 1) % SIZE, (from + SIZE - 1) % SIZE]) {
        trees[to]!.updateNeighbour(`n${from}`, trees[from]!.position, now);
      }
    };

    it("have parents without a cycle, in whatever order they speak", () => {
      const order = fc.array(fc.nat(SIZE - 1), { maxLength: 200 });
      fc.assert(
        fc.property(order, (speakers) => {
          const trees = createRing();
          for (const [step, speaker] of speakers.entries()) {
            trees[speaker]!.advance(step + 2, 0);
            exchange(trees, speaker, 0);
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

    it("do not take a lost root back from a late neighbour", () => {
      const trees = createRing();
      exchange(trees, 0, 0);
      exchange(trees, 1, 0);
      trees[1]!.advance(9, VALIDITY_MS + 1);
      expect(trees[1]!.position.root).toBe("n1");
      trees[1]!.updateNeighbour("n2", trees[2]!.position, VALIDITY_MS + 1);
      expect(trees[1]!.position.root).toBe("n1");
    });
  });
});

describe("UsageTotals", () => {
  describe("links", () => {
    const use = { account: "a", requests: 3, tokens: 5, streams: 2, users: 1 };

    it("are not told their own use, and others' only once", () => {
      const totals = new UsageTotals();
      totals.setLinks(["up", "down"], "up");
      totals.addLinkUsage("down", [use]);
      expect(totals.takeUsageFor("down")).toBe(undefined);
      expect(totals.takeUsageFor("up")).toEqual([use]);
      expect(totals.takeUsageFor("up"))
        .toEqual([{ ...use, requests: 0, tokens: 0 }]);
    });

    it("hand what was not sent to a lost parent to the next one", () => {
      const totals = new UsageTotals();
      totals.setLinks(["up"], "up");
      totals.addOwnUsage([use]);
      totals.setLinks(["next"], "next");
      expect(totals.takeUsageFor("next")).toEqual([use]);
    });
  });
});
