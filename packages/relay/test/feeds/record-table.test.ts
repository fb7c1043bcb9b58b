import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RecordTable } from "../../src/feeds/record-table.ts";
import type { KeyRecord } from "../../src/index.ts";

const arbitraryLog: fc.Arbitrary<KeyRecord[]> = fc.array(
  fc.record({
    key: fc.constantFrom("a", "b", "c"),
    value: fc.option(fc.string({ minLength: 1 }), { nil: undefined }),
  }),
  { maxLength: 20 },
).map((records) => records.map((record, offset) => ({ ...record, offset })));

function readValues(table: RecordTable): Record<string, string | undefined> {
  return Object.fromEntries(
    table.list().map(({ key, value }) => [key, value]),
  );
}

describe("RecordTable", () => {
  describe("records in any order", () => {
    it("never let an older record replace a newer one", () => {
      fc.assert(fc.property(
        arbitraryLog.chain((log) =>
          fc.tuple(
            fc.constant(log),
            fc.shuffledSubarray(log, { minLength: log.length }),
          )
        ),
        ([log, shuffled]) => {
          const inOrder = new RecordTable();
          inOrder.apply(log, log.length);
          const outOfOrder = new RecordTable();
          shuffled.forEach((record) => outOfOrder.apply([record], 0));
          expect(readValues(outOfOrder)).toEqual(readValues(inOrder));
        },
      ));
    });

    it("are reported only if they change the table", () => {
      const table = new RecordTable();
      table.apply([{ key: "a", offset: 5, value: "new" }], 6);
      expect(table.apply([{ key: "a", offset: 3, value: "old" }], 6))
        .toEqual([]);
    });
  });

  describe("snapshots", () => {
    it("delete keys that they do not contain", () => {
      const table = new RecordTable();
      table.apply([{ key: "gone", offset: 1, value: "x" }], 2);
      table.applySnapshot([{ key: "kept", offset: 4, value: "y" }], 9);
      expect(readValues(table)).toEqual({ kept: "y" });
    });

    it("do not delete a key whose record is newer", () => {
      const table = new RecordTable();
      table.apply([{ key: "new", offset: 12, value: "x" }], 13);
      table.applySnapshot([], 9);
      expect(readValues(table)).toEqual({ new: "x" });
      expect(table.next).toBe(13);
    });
  });
});
