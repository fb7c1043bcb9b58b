import type { GroupState } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import { createSubset } from "../src/index.ts";

const NODES = 370;
const SIZE = 8;
const DATA_CENTRES = 6;

function createGroups(count: number): GroupState[] {
  return Array.from({ length: count }, (_item, index) => ({
    group: `chat-${index}`,
    scope: "placement/dc-0",
    phase: "ready" as const,
    model: "chat",
    version: "1",
    hosts: [`h${index}`],
    fabricDomain: "fd-1",
    dataCentre: `dc-${index % DATA_CENTRES}`,
    fence: 1,
    since: 1,
  }));
}

const isNeverMissing = () => false;

describe("Subset", () => {
  describe("at 370 nodes and 150 groups", () => {
    it("covers every group and loads none with a multiple of its share", async () => {
      const groups = createGroups(150);
      const counts = new Map<string, number>();
      for (let index = 0; index < NODES; index++) {
        const dataCentre = `dc-${index % DATA_CENTRES}`;
        const subset = await createSubset(`node-${index}`, dataCentre);
        for (const { group } of subset.choose(groups, SIZE, isNeverMissing)) {
          counts.set(group, (counts.get(group) ?? 0) + 1);
        }
      }
      const share = NODES * SIZE / groups.length;
      expect(counts.size).toBe(groups.length);
      expect(Math.max(...counts.values())).toBeLessThan(2 * share);
    });

    it("changes at most one choice when one group is removed", async () => {
      const subset = await createSubset("node-1", "dc-1");
      const groups = createGroups(150);
      const before = subset.choose(groups, SIZE, isNeverMissing);
      const left = groups.filter(({ group }) => group !== before[0]!.group);
      const after = subset.choose(left, SIZE, isNeverMissing);
      const kept = after.filter((group) => before.includes(group));
      expect(kept).toHaveLength(SIZE - 1);
    });
  });

  describe("data centres", () => {
    it("takes groups of its own data centre first", async () => {
      const subset = await createSubset("node-1", "dc-1");
      const chosen = subset.choose(createGroups(150), SIZE, isNeverMissing);
      expect(chosen.every(({ dataCentre }) => dataCentre === "dc-1"))
        .toBe(true);
    });

    it("adds others when those of its own are missing, within twice the size", async () => {
      const subset = await createSubset("node-1", "dc-1");
      const isMissing = ({ dataCentre }: GroupState) => dataCentre === "dc-1";
      const near = createGroups(24).filter(isMissing);
      const chosen = subset.choose(createGroups(24), SIZE, isMissing);
      expect(chosen.length).toBeLessThanOrEqual(2 * SIZE);
      expect(chosen.length - near.length).toBe(SIZE);
    });
  });
});
