import { createHash } from "node:crypto";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { planPeerSlots } from "../src/index.ts";

const SEED = 20261204;
const LIMIT = 8;
const TARGET_NODES = 370;

function hash(name: string): number {
  return createHash("sha256").update(name).digest().readUInt32BE();
}

function createNames(size: number): string[] {
  return Array.from({ length: size }, (_, index) => `10.0.${index}.1:7000`);
}

/** Connects every live node of each slot to its first live candidate. */
function connect(
  names: readonly string[],
  isLive: (name: string) => boolean,
): Map<string, Set<string>> {
  const graph = new Map(
    names.filter(isLive).map((name) => [name, new Set<string>()]),
  );
  for (const [name, neighbours] of graph) {
    for (const slot of planPeerSlots(name, names, LIMIT, hash)) {
      const peer = slot.find(isLive);
      if (peer !== undefined) {
        neighbours.add(peer);
        graph.get(peer)?.add(name);
      }
    }
  }
  return graph;
}

/** Steps from the first node to the farthest one; Infinity if unreachable. */
function measureDepth(graph: Map<string, Set<string>>): number {
  const [first] = graph.keys();
  const depth = new Map([[first!, 0]]);
  for (const [name, steps] of depth) {
    for (const neighbour of graph.get(name) ?? []) {
      if (!depth.has(neighbour)) {
        depth.set(neighbour, steps + 1);
      }
    }
  }
  return depth.size === graph.size ? Math.max(...depth.values()) : Infinity;
}

describe("planPeerSlots", () => {
  describe("with few nodes", () => {
    it("connects to every other node and never to itself", () => {
      const names = createNames(LIMIT + 1);
      const slots = planPeerSlots(names[0]!, names, LIMIT, hash);
      expect(slots).toEqual(names.slice(1).map((name) => [name]));
    });
  });

  describe("with more nodes than connections", () => {
    it("gives every node the same number of connections", () => {
      const graph = connect(createNames(TARGET_NODES), () => true);
      const degrees = [...graph.values()].map(({ size }) => size);
      expect(new Set(degrees)).toEqual(new Set([LIMIT]));
    });

    it("reaches every node in few steps", () => {
      const graph = connect(createNames(TARGET_NODES), () => true);
      expect(measureDepth(graph)).toBeLessThanOrEqual(10);
    });

    it("stays connected whichever nodes are gone", () => {
      fc.assert(
        fc.property(
          fc.integer({ min: LIMIT + 2, max: 80 }),
          fc.infiniteStream(fc.integer({ min: 0, max: 99 })),
          fc.integer({ min: 0, max: 90 }),
          (size, draws, sharePercent) => {
            const names = createNames(size);
            const gone = new Set(
              names.slice(1).filter(() => draws.next().value! < sharePercent),
            );
            const graph = connect(names, (name) => !gone.has(name));
            expect(measureDepth(graph)).toBeLessThan(Infinity);
          },
        ),
        { seed: SEED, numRuns: 200 },
      );
    });
  });
});
