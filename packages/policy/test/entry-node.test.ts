import { SeededRandom } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { chooseEntryNode, type EntryNode } from "../src/index.ts";

const DRAWS = 10_000;

function createEntry(
  address: string,
  dataCentre: string,
  load: number,
): EntryNode {
  return { address, dataCentre, load };
}

/** Counts how often each address is chosen. */
function countChoices(
  candidates: readonly EntryNode[],
  dataCentre: string,
): Record<string, number> {
  const random = new SeededRandom(20261204);
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < DRAWS; draw++) {
    const { address } = chooseEntryNode(candidates, dataCentre, random)!;
    counts[address] = (counts[address] ?? 0) + 1;
  }
  return counts;
}

describe("chooseEntryNode", () => {
  describe("by load", () => {
    it("spreads callers in proportion to the capacity that is left", () => {
      const { a = 0, b = 0 } = countChoices([
        createEntry("a", "dc-1", 0),
        createEntry("b", "dc-1", 0.75),
      ], "dc-1");
      expect(a / b).toBeGreaterThan(3.5);
      expect(a / b).toBeLessThan(4.5);
    });

    it("does not send every caller to the node with the least load", () => {
      const counts = countChoices([
        createEntry("a", "dc-1", 0.1),
        createEntry("b", "dc-1", 0.11),
        createEntry("c", "dc-1", 0.12),
      ], "dc-1");
      expect(Math.min(...Object.values(counts))).toBeGreaterThan(DRAWS / 4);
    });
  });

  describe("by data centre", () => {
    it("prefers the caller's data centre over a lower load elsewhere", () => {
      const counts = countChoices([
        createEntry("a", "dc-1", 0.9),
        createEntry("b", "dc-2", 0),
      ], "dc-1");
      expect(counts).toEqual({ a: DRAWS });
    });

    it("uses other data centres when the caller's own is full", () => {
      const { b = 0 } = countChoices([
        createEntry("a", "dc-1", 1.2),
        createEntry("b", "dc-2", 0),
      ], "dc-1");
      expect(b).toBeGreaterThan(DRAWS / 2);
    });

    it("directs a caller whose data centre has no node", () => {
      const counts = countChoices([createEntry("a", "dc-1", 0)], "dc-9");
      expect(counts).toEqual({ a: DRAWS });
    });
  });

  describe("without candidates", () => {
    it("chooses none", () => {
      expect(chooseEntryNode([], "dc-1", new SeededRandom(1))).toBeUndefined();
    });
  });
});
