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

const arbitraryEra = fc.nat(2 ** 13 - 1);

describe("a position", () => {
  it("holds its era and its offset", () => {
    fc.assert(fc.property(arbitraryEra, fc.nat(2 ** 40 - 1), (era, offset) => {
      const position = createPosition(era, offset);
      expect([eraOf(position), offsetOf(position)]).toEqual([era, offset]);
    }));
  });

  // Guards against records that are no news as their offset was used before.
  it("comes after all of the eras before", () => {
    expect(createPosition(1, 0)).toBeGreaterThan(createPosition(0, 2 ** 39));
  });
});

describe("a generation of the members", () => {
  // Guards against orders that runners refuse, as they have seen a higher fence.
  it("rises if the store's goes back with a restore", () => {
    expect(createGeneration(1, 2)).toBeGreaterThan(createGeneration(0, 90));
    expect(createGeneration(1, 0)).toBeGreaterThan(
      createGeneration(0, Number.MAX_SAFE_INTEGER),
    );
  });

  // Guards against a join with a generation that the restored store never gave.
  it("is sent back only to the era that gave it", () => {
    const generation = createGeneration(1, 7);
    expect(storeGenerationOf(1, generation)).toBe(7);
    expect(storeGenerationOf(2, generation)).toBe(0);
  });
});

describe("StoreEra", () => {
  // Guards against an answer from before the restore that arrives after one.
  it("rejects what an earlier era has sent", () => {
    const era = new StoreEra();
    expect([1, 0, 1, 2, 1].map((stated) => era.observe(stated)))
      .toEqual([true, false, true, true, false]);
    expect(era.current).toBe(2);
  });

  it.each([undefined, -1, 0.5, 2 ** 13])("keeps its value at %s", (stated) => {
    const era = new StoreEra();
    era.observe(3);
    expect(era.observe(stated)).toBe(true);
    expect(era.current).toBe(3);
  });
});
