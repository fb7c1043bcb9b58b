import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { PendingChecks } from "../../src/placement/pending-checks.ts";

describe("PendingChecks", () => {
  describe("a suspicion that nobody could check", () => {
    it("is handed over once, so that a whole group is not asked for ever", () => {
      const checks = new PendingChecks(new ManualClock());
      checks.put("large~7", 7);
      checks.put("large~7", 7);
      expect(checks.take()).toMatchObject([{ group: "large~7", epoch: 7 }]);
      expect(checks.take()).toEqual([]);
    });

    it("expires, as names of ended groups would fill the memory", async () => {
      const clock = new ManualClock();
      const checks = new PendingChecks(clock);
      checks.put("large~7", 7);
      await clock.advance(5000);
      expect(checks.take()).toEqual([]);
      expect(checks.dump()).toEqual([]);
    });
  });
});
