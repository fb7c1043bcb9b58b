import type { ControlRecord } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import { ControlReducer, DECISION_WINDOW } from "../src/index.ts";

const SCOPE = "placement/dc-1";

function createDrain(id: string, drained: boolean): ControlRecord {
  const author = "operator";
  return { kind: "host-drained", id, node: "a", host: "h1", drained, author };
}

function createReducerWithLease(): ControlReducer {
  const reducer = new ControlReducer();
  const lease = { id: "lease", node: "a", scope: SCOPE, fence: 0, basis: 0 };
  reducer.apply(1, { kind: "lease", ...lease });
  return reducer;
}

function createAssignment(id: string, group: string): ControlRecord {
  return {
    kind: "group-assigned",
    id,
    node: "a",
    scope: SCOPE,
    fence: 1,
    group,
    model: "chat",
    version: "1",
    hosts: ["h1"],
    fabricDomain: "fd-1",
    dataCentre: "dc-1",
  };
}

function createRetirement(
  id: string,
  group: string,
  released: string[],
): ControlRecord {
  const header = { id, node: "a", scope: SCOPE, fence: 1 };
  return { kind: "group-retired", ...header, group, released };
}

describe("ControlReducer with repeated appends", () => {
  describe("operators' commands", () => {
    it("does not undo a later command with a repeat of an earlier one", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createDrain("x", true));
      reducer.apply(2, createDrain("y", false));
      expect(reducer.apply(3, createDrain("x", true)).accepted).toBe(false);
      expect(reducer.drainedHosts.size).toBe(0);
    });

    it("does not undo it in a reader that starts from a checkpoint", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createDrain("x", true));
      reducer.apply(2, createDrain("y", false));
      const restored = new ControlReducer();
      restored.restore(reducer.createSnapshot());
      restored.apply(3, createDrain("x", true));
      expect(restored.drainedHosts.size).toBe(0);
    });

    it("returns the first decision of a repeated record", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createDrain("x", true));
      reducer.apply(2, createDrain("x", true));
      expect(reducer.findDecision("x")).toBe(true);
      expect(reducer.findDecision("unknown")).toBeUndefined();
    });
  });

  describe("steps of groups", () => {
    it("does not form a retired group again", () => {
      const reducer = createReducerWithLease();
      reducer.apply(2, createAssignment("x", "g1"));
      reducer.apply(3, createRetirement("y", "g1", ["h1"]));
      reducer.apply(4, createAssignment("x", "g1"));
      expect(reducer.groups.size).toBe(0);
    });

    it("does not free a host that a later group holds", () => {
      const reducer = createReducerWithLease();
      const header = { id: "r", node: "a", scope: SCOPE, fence: 1 };
      const release = { kind: "host-released", ...header, host: "h1" } as const;
      reducer.apply(2, createAssignment("x", "g1"));
      reducer.apply(3, createRetirement("y", "g1", []));
      reducer.apply(4, release);
      reducer.apply(5, createAssignment("z", "g2"));
      reducer.apply(6, createRetirement("w", "g2", []));
      expect(reducer.apply(7, release).accepted).toBe(false);
      expect(reducer.isFree("h1")).toBe(false);
    });
  });

  describe("memory", () => {
    it("keeps no more decisions than its window", () => {
      const reducer = new ControlReducer();
      for (let offset = 1; offset <= DECISION_WINDOW + 10; offset++) {
        reducer.apply(offset, createDrain(`id-${offset}`, true));
      }
      const { decisions } = reducer.createSnapshot();
      expect(decisions.length).toBe(DECISION_WINDOW);
      expect(decisions[0]?.id).toBe("id-11");
    });
  });
});
