import { ManualClock, SeededRandom } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import {
  createPromptHasher,
  DeepestFirstStore,
  LoadBalancer,
  PrefixIndex,
  type RouteCandidate,
} from "../src/index.ts";

const SEED = 5;
const DRAWS = 400;

function createRouting() {
  const clock = new ManualClock();
  const routing = new LoadBalancer(clock, new SeededRandom(SEED));
  return { clock, routing };
}

function createCandidates(
  count: number,
  dataCentre = (_index: number) => "dc-1",
): RouteCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    group: `g${index}`,
    dataCentre: dataCentre(index),
    reportedLoad: 0,
    reportedAt: 0,
  }));
}

function countChoices(
  routing: LoadBalancer,
  candidates: readonly RouteCandidate[],
): Map<string, number> {
  const counts = new Map<string, number>();
  const request = { dataCentre: "dc-1", excluded: new Set<string>() };
  for (let draw = 0; draw < DRAWS; draw++) {
    const { group } = routing.choose(request, candidates)!;
    counts.set(group, (counts.get(group) ?? 0) + 1);
  }
  return counts;
}

describe("LoadBalancer", () => {
  describe("data centres", () => {
    const candidates = createCandidates(
      4,
      (index) => index < 2 ? "dc-1" : "dc-2",
    );

    it("does not leave the data centre without need", () => {
      const { routing } = createRouting();
      const counts = countChoices(routing, candidates);
      expect([...counts.keys()].sort()).toEqual(["g0", "g1"]);
    });

    it("leaves it when its groups have far more load than others", () => {
      const { routing } = createRouting();
      for (let index = 0; index < 20; index++) {
        routing.begin("g0");
        routing.begin("g1");
      }
      const counts = countChoices(routing, candidates);
      expect(counts.get("g2")! + counts.get("g3")!).toBeGreaterThan(DRAWS / 2);
    });

    it("does not choose a group that failed the request", () => {
      const { routing } = createRouting();
      const excluded = new Set(["g0", "g1", "g2"]);
      const chosen = routing.choose(
        { dataCentre: "dc-1", excluded },
        candidates,
      );
      expect(chosen?.group).toBe("g3");
    });
  });

  describe("load", () => {
    it("counts requests sent after a report, so that no burst follows", () => {
      const { routing } = createRouting();
      const candidates = createCandidates(2)
        .map((one, index) => ({ ...one, reportedLoad: index === 0 ? 5 : 6 }));
      const request = { dataCentre: "dc-1", excluded: new Set<string>() };
      for (let index = 0; index < 20; index++) {
        routing.begin(routing.choose(request, candidates)!.group);
      }
      expect(routing.countOutstanding("g1")).toBeGreaterThan(7);
    });

    it("sends a new group few requests at first", async () => {
      const { clock, routing } = createRouting();
      const old = createCandidates(3);
      countChoices(routing, old);
      await clock.advance(10_000);
      const all = createCandidates(4);
      const early = countChoices(routing, all).get("g3") ?? 0;
      await clock.advance(10_000);
      const late = countChoices(routing, all).get("g3") ?? 0;
      expect(early).toBeLessThan(late / 4);
    });
  });

  describe("stragglers", () => {
    function noteGaps(routing: LoadBalancer, slow: number, count = 10): void {
      for (let group = 0; group < count; group++) {
        for (let sample = 0; sample < 5; sample++) {
          routing.recordTokenGap(`g${group}`, group < slow ? 200 : 30);
        }
      }
    }

    it("ejects a group that is much slower than the others", () => {
      const { routing } = createRouting();
      noteGaps(routing, 1);
      const counts = countChoices(routing, createCandidates(10));
      expect(counts.has("g0")).toBe(false);
    });

    it("uses it again once it is no longer slow", async () => {
      const { clock, routing } = createRouting();
      const candidates = createCandidates(10);
      countChoices(routing, candidates);
      noteGaps(routing, 1);
      await clock.advance(1000);
      expect(countChoices(routing, candidates).has("g0")).toBe(false);
      await clock.advance(20_000);
      expect(countChoices(routing, candidates).has("g0")).toBe(true);
    });

    it("never ejects so many that too few stay in use", () => {
      const { routing } = createRouting();
      noteGaps(routing, 4);
      const counts = countChoices(routing, createCandidates(10));
      expect(counts.size).toBeGreaterThanOrEqual(7);
    });

    it("ejects no group when all are slow", () => {
      const { routing } = createRouting();
      noteGaps(routing, 10);
      expect(countChoices(routing, createCandidates(10)).size).toBe(10);
    });
  });

  describe("prefixes", () => {
    const prefix = ["a", "b"];
    const request = { dataCentre: "dc-1", excluded: new Set<string>(), prefix };

    it("sends a known prefix to the same group", () => {
      const { routing } = createRouting();
      const candidates = createCandidates(8);
      const first = routing.choose(request, candidates)!.group;
      const again = Array.from(
        { length: 20 },
        () => routing.choose(request, candidates)!.group,
      );
      expect(new Set(again)).toEqual(new Set([first]));
    });

    it("does not overload a group that holds a prefix", () => {
      const { routing } = createRouting();
      const candidates = createCandidates(8);
      const first = routing.choose(request, candidates)!.group;
      for (let index = 0; index < 10; index++) {
        routing.begin(first);
      }
      expect(routing.choose(request, candidates)!.group).not.toBe(first);
    });
  });
});

describe("PrefixIndex", () => {
  describe("size", () => {
    it("keeps no more than its capacity, the shortest prefixes longest", () => {
      const index = new PrefixIndex(() => new DeepestFirstStore(4));
      index.recordPrompt("g", ["a", "b", "c"]);
      index.recordPrompt("g", ["a", "d", "e"]);
      expect(index.matchLength("g", ["a", "b", "c"])).toBe(2);
      expect(index.matchLength("g", ["a", "d", "e"])).toBe(3);
      index.recordPrompt("g", ["f", "g", "h", "i"]);
      index.recordPrompt("g", ["j", "k", "l", "m"]);
      const held = [["a", "b"], ["f", "g", "h", "i"], ["j", "k", "l", "m"]]
        .map((prefix) => index.matchLength("g", prefix));
      expect(held.reduce((sum, length) => sum + length)).toBeLessThanOrEqual(4);
    });
  });

  describe("cache events", () => {
    it("drops a prefix that the engine has removed", () => {
      const index = new PrefixIndex();
      index.recordPrompt("g", ["a", "b"]);
      index.applyCacheEvent("g", { removed: ["b"] });
      expect(index.matchLength("g", ["a", "b"])).toBe(1);
    });

    it("accepts an event about an unknown prefix", () => {
      const index = new PrefixIndex();
      index.applyCacheEvent("g", { removed: ["x"], stored: ["a"] });
      expect(index.matchLength("g", ["a"])).toBe(1);
    });
  });
});

describe("prompt hashes", () => {
  describe("prefixes", () => {
    it("agree up to the first message that differs", async () => {
      const hash = await createPromptHasher();
      const system = { role: "system", content: "s" };
      const one = hash([system, { role: "user", content: "1" }]);
      const two = hash([system, { role: "user", content: "2" }]);
      expect(one[0]).toBe(two[0]);
      expect(one[1]).not.toBe(two[1]);
    });
  });
});
