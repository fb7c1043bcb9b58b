import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  compareVersions,
  type EntryVersion,
  NO_VERSIONS,
  type VersionReader,
} from "../../src/feeds/entry-versions.ts";
import { RecordTable } from "../../src/feeds/record-table.ts";
import { createPosition, type KeyRecord } from "../../src/index.ts";

const arbitraryLog: fc.Arbitrary<KeyRecord[]> = fc.array(
  fc.record({
    key: fc.constantFrom("a", "b", "c"),
    value: fc.option(fc.string({ minLength: 1 }), { nil: undefined }),
  }),
  { maxLength: 20 },
).map((records) => records.map((record, offset) => ({ ...record, offset })));

/** Reads values that are their own versions. */
const versions: VersionReader = {
  mayReorder: true,
  read: (_key, value) =>
    value === "?" ? undefined : JSON.parse(value) as EntryVersion,
};

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

  describe("values with versions", () => {
    const arbitraryVersions = fc.uniqueArray(
      fc.tuple(fc.nat(3), fc.nat(20)),
      {
        minLength: 1,
        selector: (version) => version.join(" "),
      },
    );

    it("are ordered by them, whatever the store's order", () => {
      fc.assert(fc.property(arbitraryVersions, (written) => {
        const table = new RecordTable(versions);
        written.forEach((version, offset) => {
          const value = JSON.stringify(version);
          table.apply([{ key: "a", offset, value }], offset + 1);
        });
        const newest = [...written].sort(compareVersions).at(-1);
        expect(readValues(table)).toEqual({ a: JSON.stringify(newest) });
      }));
    });

    it("are not hidden by an unreadable value, which is reported", () => {
      const table = new RecordTable(versions);
      const value = JSON.stringify([1, 4]);
      table.apply([{ key: "a", offset: 0, value }], 1);
      const unreadable = { key: "a", offset: 1, value: "?" };
      expect(table.apply([unreadable], 2)).toEqual([unreadable]);
      expect(readValues(table)).toEqual({ a: value });
    });

    it("stay deleted if a peer sends what came before the deletion", () => {
      const table = new RecordTable(versions);
      const write = (renewalCount: number, offset: number) => ({
        key: "a",
        offset,
        value: JSON.stringify([1, renewalCount]),
      });
      table.apply([write(4, 2)], 3);
      table.apply([{ key: "a", offset: 9 }], 10);
      expect(table.apply([write(5, 6)], 10)).toEqual([]);
      expect(table.list()).toEqual([]);
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

    // Guards against a read that began before the snapshot and ends after it.
    it("are not undone by late records of keys that were deleted before them", () => {
      const late = { key: "gone", offset: 5, value: "x" };
      const table = new RecordTable();
      table.applySnapshot([], 9);
      expect(table.apply([late], 6)).toEqual([]);
      expect(table.applySnapshot([late], 7)).toEqual([]);
      expect(table.list()).toEqual([]);
    });

    it("add keys that an incomplete table lacks", () => {
      const table = new RecordTable();
      table.apply([], 9);
      const missed = { key: "missed", offset: 5, value: "x" };
      expect(table.applySnapshot([missed], 9)).toEqual([missed]);
    });
  });

  describe("a store that was restored from a copy", () => {
    const at = (
      era: number,
      offset: number,
      key: string,
      value?: string,
    ): KeyRecord => ({ key, offset: createPosition(era, offset), value });

    // Guards against a change after the restore that is no news, as the offset
    // was used before.
    it("never lets a record of an earlier era replace a later one", () => {
      fc.assert(fc.property(
        fc.tuple(arbitraryLog, arbitraryLog, arbitraryLog).chain((logs) =>
          fc.shuffledSubarray(
            logs.flatMap((log, era) =>
              log.map(({ key, offset, value }) => at(era, offset, key, value))
            ),
            { minLength: logs.flat().length },
          )
        ),
        (shuffled) => {
          const table = new RecordTable();
          shuffled.forEach((record) => table.apply([record], 0));
          const newest = new Map(
            [...shuffled].sort((a, b) => a.offset - b.offset)
              .map(({ key, value }) => [key, value]),
          );
          for (const [key, value] of newest) {
            expect(readValues(table)[key]).toBe(value);
          }
        },
      ));
    });

    function createTable(reader: VersionReader, ...known: KeyRecord[]) {
      const table = new RecordTable(reader);
      table.apply(known, createPosition(0, 90));
      return table;
    }

    // Guards against evacuations that end, or begin again, until the operator
    // has written once more what the store has lost.
    it("keeps what it has lost, until it is believed again", () => {
      const known = [at(0, 80, "added", "x"), at(0, 81, "ended")];
      const table = createTable(NO_VERSIONS, ...known);
      const copy = [at(1, 40, "ended", "old"), at(1, 41, "other", "y")];
      const next = createPosition(1, 50);
      expect(table.applySnapshot(copy, next, true)).toEqual([copy[1]]);
      expect(readValues(table)).toEqual({ added: "x", other: "y" });
      table.applySnapshot(copy, next);
      expect(readValues(table)).toEqual({ ended: "old", other: "y" });
    });

    it("lets later records, and deletions, replace what it has lost", () => {
      const table = createTable(NO_VERSIONS, at(0, 80, "added", "x"));
      table.applySnapshot([], createPosition(1, 50), true);
      table.apply([at(1, 50, "added", "z")], createPosition(1, 51));
      expect(readValues(table)).toEqual({ added: "z" });
      table.applySnapshot([], createPosition(1, 52), true);
      expect(table.list()).toEqual([]);
    });

    // Guards against a peer in its grace that brings back what this node has
    // already seen the store to lack.
    it("does not get back what only a peer still keeps", () => {
      const table = new RecordTable();
      table.applySnapshot([], createPosition(1, 50));
      const retained = at(0, 80, "added", "x");
      table.applySnapshot([retained], createPosition(1, 60), true);
      expect(table.list()).toEqual([]);
    });

    // Guards against an evacuation that the store lists and this node drops, as
    // a peer in its grace has seen an end that is lost.
    it("loses nothing to a peer in its grace that has read no more", () => {
      const table = new RecordTable(versions);
      const next = createPosition(1, 50);
      const copy = [at(1, 40, "a", "[1,7]"), at(1, 41, "evacuation", "{}")];
      table.applySnapshot(copy, next, true);
      table.applySnapshot([at(0, 80, "a", "[1,9]")], next, true);
      expect(readValues(table)).toEqual({ a: "[1,9]", evacuation: "{}" });
    });

    it("orders values with versions by them, also across eras", () => {
      const table = createTable(versions, at(0, 80, "a", "[1,9]"));
      const copy = [at(1, 40, "a", "[1,7]")];
      table.applySnapshot(copy, createPosition(1, 50), true);
      table.applySnapshot(copy, createPosition(1, 50));
      expect(readValues(table)).toEqual({ a: "[1,9]" });
      const renewed = [at(1, 60, "a", "[2,0]")];
      table.applySnapshot(renewed, createPosition(1, 61), true);
      expect(readValues(table)).toEqual({ a: "[2,0]" });
    });

    // Guards against a copy that lists a runner that has left since, perhaps
    // with a renewal that this node has not heard of.
    it.each(["[1,5]", "[1,7]"])("keeps a key deleted at %s", (value) => {
      const left = [at(0, 80, "a", "[1,5]"), at(0, 81, "a")];
      const table = createTable(versions, ...left);
      const copy = [at(1, 40, "a", value)];
      table.applySnapshot(copy, createPosition(1, 50), true);
      expect(table.list()).toEqual([]);
      // The store takes seconds to drop the entry of a silent runner, which may
      // be longer than the grace.
      table.applySnapshot(copy, createPosition(1, 51));
      expect(table.list()).toEqual([]);
      table.apply([at(1, 51, "a", "[1,5]")], createPosition(1, 52));
      expect(table.list()).toEqual([]);
      table.apply([at(1, 52, "a", "[1,10]")], createPosition(1, 53));
      expect(readValues(table)).toEqual({ a: "[1,10]" });
    });
  });
});
