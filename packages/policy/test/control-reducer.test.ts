import type { ControlRecord } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import { ControlReducer, createPosition } from "../src/index.ts";

const SCOPE = "placement/dc-1";

function createLease(node: string, basis: number, fence = 0): ControlRecord {
  return {
    kind: "lease",
    id: `${node}-${basis}-${fence}`,
    node,
    scope: SCOPE,
    fence,
    basis,
  };
}

function createAssignment(
  group: string,
  fence: number,
  hosts: string[],
): ControlRecord {
  return {
    kind: "group-assigned",
    id: group,
    node: "a",
    scope: SCOPE,
    fence,
    group,
    model: "chat",
    version: "1",
    hosts,
    fabricDomain: "fabric-1",
    dataCentre: "dc-1",
  };
}

describe("ControlReducer", () => {
  describe("configuration", () => {
    it("accepts only the first of two edits made from one version", () => {
      const reducer = new ControlReducer();
      const edit = (id: string, text: string): ControlRecord => ({
        kind: "configuration",
        id,
        node: "a",
        basis: 0,
        text,
        author: "ops",
      });
      expect(reducer.apply(1, edit("x", "one")).accepted).toBe(true);
      expect(reducer.apply(2, edit("y", "two")).accepted).toBe(false);
      expect(reducer.configuration).toMatchObject({ version: 1, text: "one" });
    });
  });

  describe("a restored log", () => {
    // Guards against a fencing number that a lost claim may have had.
    it("counts what a later era brings after all earlier records", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createLease("a", 0));
      reducer.apply(90, createLease("a", 1, 1));
      const claim = { ...createLease("b", 90), era: 1 };
      expect(reducer.apply(91, claim).accepted).toBe(true);
      const { fence } = reducer.leases.get(SCOPE)!;
      expect(fence).toBe(createPosition(1, 91));
      expect(fence).toBeGreaterThan(createPosition(0, 1_000_000_000));
    });

    // Guards against a holder under a number below that of a lost claim.
    it("ends every lease of an earlier era", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createLease("a", 0));
      const renewal = { ...createLease("a", 1, 1), era: 1 };
      expect(reducer.apply(2, renewal).accepted).toBe(false);
    });

    // Guards against a writer that does not know of the restore, whose claim
    // would get an offset that was given out before.
    it("refuses a record of an earlier era after one of a later era", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, { ...createLease("a", 0), era: 2 });
      const { last } = reducer.leases.get(SCOPE)!;
      const restored = new ControlReducer();
      restored.restore(reducer.createSnapshot());
      for (const reader of [reducer, restored]) {
        const late = { ...createLease("b", last), era: 1 };
        expect(reader.apply(2, late).accepted).toBe(false);
      }
      expect(restored.createSnapshot()).toEqual(reducer.createSnapshot());
    });
  });

  describe("leases", () => {
    it("accepts only one of a renewal and a claim that race", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createLease("a", 0));
      expect(reducer.apply(2, createLease("a", 1, 1)).accepted).toBe(true);
      expect(reducer.apply(3, createLease("b", 1)).accepted).toBe(false);
      expect(reducer.leases.get(SCOPE)).toMatchObject({
        holder: "a",
        fence: 1,
      });
    });
  });

  describe("groups", () => {
    it("refuses an assignment whose host is in another group", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createLease("a", 0));
      reducer.apply(2, createAssignment("g1", 1, ["h1", "h2"]));
      const decision = reducer.apply(
        3,
        createAssignment("g2", 1, ["h2", "h3"]),
      );
      expect(decision).toEqual({
        accepted: false,
        reason: "host h2 is not free",
      });
    });

    it("refuses a step under a fencing number that is no longer current", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createLease("a", 0));
      reducer.apply(2, createLease("b", 1));
      expect(reducer.apply(3, createAssignment("g1", 1, ["h1"])).accepted)
        .toBe(false);
    });
  });

  describe("snapshots", () => {
    it("restores the same state", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createLease("a", 0));
      reducer.apply(2, createAssignment("g1", 1, ["h1", "h2"]));
      const restored = new ControlReducer();
      restored.restore(reducer.createSnapshot());
      expect(restored.createSnapshot()).toEqual(reducer.createSnapshot());
    });
  });
});
