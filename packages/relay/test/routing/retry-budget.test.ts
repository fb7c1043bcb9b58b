import { ManualClock } from "@zinniahill/kernel";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RetryBudget } from "../../src/routing/retry-budget.ts";

const LIMITS = { ratio: 0.2, windowMs: 10_000, allowance: 40 };

describe("RetryBudget", () => {
  describe("over all nodes", () => {
    it("keeps the retries in any window below the common limit", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(fc.nat(30), { minLength: 20, maxLength: 60 }),
          fc.integer({ min: 1, max: 5 }),
          async (attemptCounts, nodes) => {
            const clock = new ManualClock();
            const budgets = Array.from(
              { length: nodes },
              () => new RetryBudget(clock, LIMITS, () => nodes),
            );
            const rounds: {
              at: number;
              firstAttempts: number;
              retries: number;
            }[] = [];
            for (const count of attemptCounts) {
              let retries = 0;
              for (const budget of budgets) {
                for (let i = 0; i < count; i++) {
                  budget.deposit("s");
                  retries += Number(budget.tryWithdraw("s"));
                }
              }
              const firstAttempts = count * nodes;
              rounds.push({ at: clock.now(), firstAttempts, retries });
              await clock.advance(700);
            }
            for (const { at } of rounds) {
              const window = rounds.filter((other) =>
                other.at >= at && other.at < at + LIMITS.windowMs
              );
              const retries = window.reduce(
                (sum, round) => sum + round.retries,
                0,
              );
              const firstAttempts = rounds
                .filter((other) =>
                  other.at >= at - LIMITS.windowMs &&
                  other.at < at + LIMITS.windowMs
                )
                .reduce((sum, round) => sum + round.firstAttempts, 0);
              expect(retries)
                .toBeLessThanOrEqual(
                  LIMITS.ratio * firstAttempts + LIMITS.allowance,
                );
            }
          },
        ),
        { numRuns: 30 },
      );
    });
  });

  describe("one service", () => {
    it("does not use the budget of another service", () => {
      const budget = new RetryBudget(
        new ManualClock(),
        { ...LIMITS, allowance: 0 },
        () => 1,
      );
      for (let i = 0; i < 100; i++) {
        budget.deposit("busy");
      }
      expect(budget.tryWithdraw("busy")).toBe(true);
      expect(budget.tryWithdraw("quiet")).toBe(false);
    });
  });
});
