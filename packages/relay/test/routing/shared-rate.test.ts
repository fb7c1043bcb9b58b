import { SeededRandom } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { SharedRate } from "../../src/routing/shared-rate.ts";

const STEP_MS = 10;
const WINDOW_MS = 4000;
const DURATION_MS = 60_000;

/** One upstream, and what its nodes are asked to send. */
interface Scenario {
  readonly nodes: number;
  readonly perSecond: number;
  /** Requests that arrive at one node in one step, at a time. */
  readonly demand: (now: number) => number;
}

/** Times at which all nodes together send requests. */
function simulate(
  { nodes, perSecond, demand }: Scenario,
  seed: number,
): number[] {
  const random = new SeededRandom(seed);
  const rates = Array.from({ length: nodes }, (_, index) =>
    // Nodes hear of the limit at different times.
    new SharedRate(
      { perSecond, nodes },
      index / nodes,
      200 * random.fraction(),
    ));
  const times: number[] = [];
  for (let now = 200; now < DURATION_MS; now += STEP_MS) {
    for (const rate of rates) {
      const expected = demand(now);
      const requests = Math.floor(expected) +
        Number(random.fraction() < expected % 1);
      for (let request = 0; request < requests; request++) {
        if (rate.hasPermit(now, false)) {
          rate.take(now);
          times.push(now);
        }
      }
    }
  }
  return times;
}

function countMost(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  for (const [last, time] of times.entries()) {
    while (times[first]! <= time - WINDOW_MS) {
      first++;
    }
    most = Math.max(most, last - first + 1);
  }
  return most;
}

const SIZES: readonly (readonly [number, number])[] = [
  [1, 5],
  [4, 0.5],
  [4, 4],
  [4, 60],
  [32, 1],
  [32, 8],
  [77, 0.5],
  [77, 5],
  [370, 3],
];

describe("a rate that nodes share without exchanging counts", () => {
  describe.each(SIZES)("among %i nodes, %f a second", (nodes, perSecond) => {
    const maxInWindow = 1.5 * perSecond * WINDOW_MS / 1000 + 5;

    it.each([1, 2, 3])(
      "is kept and used under steady demand (seed %i)",
      (seed) => {
        const times = simulate({ nodes, perSecond, demand: () => 1 }, seed);
        expect(countMost(times)).toBeLessThanOrEqual(maxInWindow);
        expect(times.length)
          .toBeGreaterThan(0.85 * perSecond * DURATION_MS / 1000 - 1);
      },
    );

    // Guards against all nodes using what they saved up at the same time.
    it.each([1, 2, 3])("is kept in a peak after a calm (seed %i)", (seed) => {
      const demand = (now: number) => now % 15_000 < 12_000 ? 0 : 1;
      const times = simulate({ nodes, perSecond, demand }, seed);
      expect(countMost(times)).toBeLessThanOrEqual(maxInWindow);
    });

    it.each([1, 2, 3])("is kept under sparse demand (seed %i)", (seed) => {
      const demand = () => 2 * perSecond * STEP_MS / 1000 / nodes;
      const times = simulate({ nodes, perSecond, demand }, seed);
      expect(countMost(times)).toBeLessThanOrEqual(maxInWindow);
    });
  });

  describe("at one node", () => {
    it("leaves permits to urgent requests at first", () => {
      const rate = new SharedRate({ perSecond: 1, nodes: 1 }, 0, 0);
      expect(rate.hasPermit(0, false)).toBe(true);
      expect(rate.hasPermit(0, true)).toBe(false);
      expect(rate.hasPermit(1500, true)).toBe(true);
    });

    it("says when the next permit is issued", () => {
      const rate = new SharedRate({ perSecond: 2, nodes: 2 }, 0, 0);
      rate.take(0);
      expect(rate.hasPermit(0, false)).toBe(false);
      expect(rate.msUntilPermit(400)).toBe(600);
      expect(rate.hasPermit(1000, false)).toBe(true);
    });

    it("sends nothing at a rate of 0, and goes on when it rises", () => {
      const rate = new SharedRate({ perSecond: 0, nodes: 2 }, 0.5, 0);
      expect(rate.hasPermit(9000, false)).toBe(false);
      expect(rate.msUntilPermit(9000)).toBe(Infinity);
      rate.update({ perSecond: 4, nodes: 2 });
      expect(rate.hasPermit(9600, false)).toBe(true);
    });
  });
});
