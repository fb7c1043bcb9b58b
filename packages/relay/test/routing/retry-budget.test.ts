import { ManualClock } from "@zinniahill/kernel";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RetryBudget } from "../../src/routing/retry-budget.ts";

const LIMITS = { ratio: 0.2, windowMs: 10_000, allowance: 40 };

describe("RetryBudget", () => {
  describe("over all nodes", () => {
    it("keeps the sum of repeats in any window below the shared limit", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(fc.nat(30), { minLength: 20, maxLength: 60 }),
          fc.integer({ min: 1, max: 5 }),
          async (firsts, nodes) => {
            const clock = new ManualClock();
            const budgets = Array.from(
              { length: nodes },
              () => new RetryBudget(clock, LIMITS, () => nodes),
            );
            const taken: { at: number; first: number; repeats: number }[] = [];
            for (const count of firsts) {
              let repeats = 0;
              for (const budget of budgets) {
                for (let i = 0; i < count; i++) {
                  budget.deposit("s");
                  repeats += Number(budget.tryWithdraw("s"));
                }
              }
              const first = count * nodes;
              taken.push({ at: clock.now(), first, repeats });
              await clock.advance(700);
            }
            for (const { at } of taken) {
              const window = taken.filter((other) =>
                other.at >= at && other.at < at + LIMITS.windowMs
              );
              const repeats = window.reduce((sum, w) => sum + w.repeats, 0);
              const first = taken
                .filter((other) =>
                  other.at >= at - LIMITS.windowMs &&
                  other.at < at + LIMITS.windowMs
                )
                .reduce((sum, w) => sum + w.first, 0);
              expect(repeats)
                .toBeLessThanOrEqual(LIMITS.ratio * first + LIMITS.allowance);
            }
          },
        ),
        { numRuns: 30 },
      );
    });
  });

  describe("one service", () => {
    it("does not use what another one has left", () => {
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
