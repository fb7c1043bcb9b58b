import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  createGeneration,
  createPosition,
  eraOf,
  offsetOf,
  StoreEra,
  storeGenerationOf,
} from "../../src/model/store-position.ts";

describe("a restored store", () => {
  // Guards against records that are no news as their offset was used before.
  it("gives positions that come after all of the eras before", () => {
    const eras = fc.nat(2 ** 13 - 2);
    fc.assert(fc.property(eras, fc.nat(2 ** 40 - 1), (era, offset) => {
      const position = createPosition(era, offset);
      expect([eraOf(position), offsetOf(position)]).toEqual([era, offset]);
      expect(position).toBeLessThan(createPosition(era + 1, 0));
    }));
  });

  // Guards against orders that runners refuse, as they have seen a higher fence,
  // and against a join with a generation that this store never gave.
  it("gives higher generations, and gets back only its own", () => {
    const generation = createGeneration(1, 7);
    expect(generation).toBeGreaterThan(createGeneration(0, 2 ** 50));
    expect(storeGenerationOf(1, generation)).toBe(7);
    expect(storeGenerationOf(2, generation)).toBe(0);
  });

  // Guards against an answer from before the restore that arrives after one.
  it("is not heard before its last restore", () => {
    const era = new StoreEra();
    const stated = [1, 0, 1, 2, undefined, -1, 0.5, 2 ** 13, 1];
    expect(stated.map((value) => era.observe(value)))
      .toEqual([true, false, true, true, true, true, true, true, false]);
    expect(era.current).toBe(2);
  });
});
