import { SeededRandom } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { Capacity, RetryBudget } from "../src/index.ts";

function createReports(running: number, waiting: number, groups = 4) {
  return Array.from(
    { length: groups },
    (_, index) => ({ group: `g${index}`, running, waiting }),
  );
}

describe("Capacity", () => {
  describe("slots", () => {
    it("learns the slots of groups that have queues", () => {
      const capacity = new Capacity();
      for (let report = 0; report < 3; report++) {
        capacity.observe(createReports(6, 4), 1, 24);
      }
      expect(capacity.totalSlots).toBe(24);
    });

    it("does not infer the slots from the first steps of a burst", () => {
      const capacity = new Capacity();
      capacity.observe(createReports(8, 8), 1, 64);
      capacity.observe(createReports(16, 0), 1, 64);
      expect(capacity.totalSlots).toBe(64);
    });
  });

  describe("shares", () => {
    it("lets one node use the slots that the others do not", () => {
      const capacity = new Capacity();
      let inFlight = 0;
      for (let report = 0; report < 20; report++) {
        capacity.observe(createReports(inFlight / 4, 0), 4, inFlight);
        inFlight = Math.floor(capacity.limit);
      }
      expect(inFlight).toBeGreaterThan(60);
      expect(inFlight).toBeLessThanOrEqual(64);
    });

    it("gives slots above its equal share back when groups have queues", () => {
      const capacity = new Capacity();
      let inFlight = 60;
      for (let report = 0; report < 20; report++) {
        capacity.observe(createReports(16, 11), 4, inFlight);
        inFlight = Math.floor(capacity.limit);
      }
      expect(inFlight).toBe(16);
    });

    it("lets a node serve before the first report", () => {
      const capacity = new Capacity();
      capacity.observe([], 4, 0);
      expect(capacity.limit).toBeGreaterThan(0);
    });
  });
});

describe("RetryBudget", () => {
  function createBudget(): RetryBudget {
    return new RetryBudget(() => ({ retries: 0.1 }), new SeededRandom(3));
  }

  function countRetries(budget: RetryBudget, firstAttempts: number): number {
    let taken = 0;
    for (let index = 0; index < firstAttempts; index++) {
      budget.deposit("normal");
      taken += budget.tryWithdraw("normal") ? 1 : 0;
    }
    return taken;
  }

  describe("share", () => {
    it("does not allow more than the rank's share of first attempts", () => {
      expect(countRetries(createBudget(), 1000)).toBeLessThanOrEqual(111);
    });

    it("does not let one rank use the retries of another", () => {
      const budget = createBudget();
      countRetries(budget, 1000);
      expect(budget.tryWithdraw("urgent")).toBe(true);
    });
  });

  describe("hedges", () => {
    it("are allowed for urgent idempotent requests only", () => {
      const budget = createBudget();
      expect([
        budget.tryWithdrawHedge("urgent", true),
        budget.tryWithdrawHedge("urgent", false),
        budget.tryWithdrawHedge("normal", true),
      ]).toEqual([true, false, false]);
    });
  });

  describe("backoff", () => {
    it("is spread over the whole range, so that retries do not align", () => {
      const budget = createBudget();
      const backoffsMs = Array.from(
        { length: 200 },
        () => budget.drawBackoffMs(4),
      );
      expect(Math.min(...backoffsMs)).toBeLessThan(40);
      expect(Math.max(...backoffsMs)).toBeGreaterThan(360);
      expect(Math.max(...backoffsMs)).toBeLessThanOrEqual(400);
    });
  });
});
