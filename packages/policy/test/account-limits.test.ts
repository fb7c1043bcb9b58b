import { ManualClock } from "@zinniahill/kernel";
import { type AccountRule, parseRules } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import { AccountLimits } from "../src/index.ts";

const RULE = `account north key=sha256:${"0".repeat(64)} requests=10/s ` +
  "tokens=1000/s streams=8 # test";
const accounts = parseRules(RULE).unwrapOr(undefined as never).accounts;
const rule: AccountRule = accounts.get("north")!;

function createNodes(count: number) {
  const clock = new ManualClock();
  const nodes = Array.from(
    { length: count },
    () => new AccountLimits(clock, () => count),
  );
  return { clock, nodes };
}

function countBegun(limits: AccountLimits, tokens: number, tries = 50): number {
  let begun = 0;
  for (let index = 0; index < tries; index++) {
    if (limits.begin(rule, tokens).isOk) {
      limits.end("north", tokens, tokens);
      begun++;
    }
  }
  return begun;
}

describe("AccountLimits", () => {
  describe("one node", () => {
    it("refuses with the time after which a request may begin", async () => {
      const { clock, nodes: [limits] } = createNodes(1);
      expect(countBegun(limits!, 1)).toBe(10);
      const refused = limits!.begin(rule, 1);
      expect(refused.isErr && refused.error).toMatchObject({
        code: "account-limit",
        verdict: "not-run",
        retryAfterMs: 100,
      });
      await clock.advance(100);
      expect(limits!.begin(rule, 1).isOk).toBe(true);
    });

    it("charges the real tokens in place of the estimate", () => {
      const { nodes: [limits] } = createNodes(1);
      expect(limits!.begin(rule, 5000).isOk).toBe(true);
      expect(limits!.begin(rule, 10).isErr).toBe(true);
      limits!.end("north", 5000, 10);
      expect(limits!.begin(rule, 10).isOk).toBe(true);
    });

    it("lets an account use every stream if the node is alone", () => {
      const { nodes: [limits] } = createNodes(1);
      const begun = Array.from({ length: 9 }, () => limits!.begin(rule, 1));
      expect(begun.filter(({ isOk }) => isOk)).toHaveLength(8);
    });
  });

  describe("several nodes", () => {
    it("charges a repeated report of a peer only once", () => {
      const { nodes: [one, two] } = createNodes(2);
      countBegun(one!, 1, 6);
      const report = one!.takeReport(accounts);
      two!.applyReport("one", 1, report, accounts);
      two!.applyReport("one", 1, report, accounts);
      expect(countBegun(two!, 1)).toBe(4);
    });

    it("pays excess usage back, so that it does not accumulate", async () => {
      const { clock, nodes: [one, two] } = createNodes(2);
      countBegun(one!, 1);
      countBegun(two!, 1);
      two!.applyReport("one", 1, one!.takeReport(accounts), accounts);
      await clock.advance(1000);
      expect(countBegun(two!, 1)).toBe(0);
    });

    it("frees the streams of a lost peer", async () => {
      const { clock, nodes: [one, two] } = createNodes(2);
      const report = [{ account: "north", requests: 8, tokens: 8, streams: 8 }];
      two!.applyReport("one", 1, report, accounts);
      await clock.advance(1000);
      expect(two!.begin(rule, 1).isErr).toBe(true);
      await clock.advance(4000);
      expect(two!.begin(rule, 1).isOk).toBe(true);
      expect(one!.accountCount).toBe(0);
    });
  });

  describe("memory", () => {
    it("forgets an idle account", async () => {
      const { clock, nodes: [limits] } = createNodes(1);
      countBegun(limits!, 1);
      await clock.advance(2000);
      limits!.takeReport(accounts);
      expect(limits!.accountCount).toBe(0);
    });
  });
});
