import { describe, expect, it } from "vitest";
import { EpochSequence } from "../../src/placement/epoch-sequence.ts";

describe("EpochSequence", () => {
  describe("a later holder", () => {
    it("numbers its groups above those of the one before", () => {
      const epochs = new EpochSequence();
      const last = Array.from({ length: 50 }, () => epochs.next(4)).at(-1)!;
      expect(new EpochSequence().next(5)).toBeGreaterThan(last);
    });

    it("continues after the epochs that it has read", () => {
      const epochs = new EpochSequence();
      expect(epochs.record(50_123, 5)).toBe(true);
      expect(epochs.next(5)).toBe(50_124);
    });
  });

  describe("an epoch far ahead of all others", () => {
    it("does not change the epochs of other groups", () => {
      const epochs = new EpochSequence();
      const before = epochs.next(5);
      expect(epochs.record(2 ** 48, 5)).toBe(false);
      expect(epochs.next(5)).toBe(before + 1);
    });
  });
});
