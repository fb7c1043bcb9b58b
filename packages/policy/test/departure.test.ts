import type { Host } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import {
  DRAIN_AHEAD_MS,
  findDeparture,
  isDrainDue,
  REPLACE_AHEAD_MS,
} from "../src/index.ts";

const NOW = 1_000_000_000;
const HOST: Host = {
  host: "h1",
  address: "127.0.0.1:9000",
  dataCentre: "dc-1",
  fabricDomain: "fd-1",
  accelerators: 8,
  state: "live",
};

function createSources(maintenance: [string, number][], drained: string[]) {
  return {
    maintenance: new Map(maintenance),
    drainedHosts: new Set(drained),
    wallTime: NOW,
  };
}

describe("findDeparture", () => {
  describe("maintenance", () => {
    it("counts as a departure from the replacement time on, and not earlier", () => {
      const near = NOW + REPLACE_AHEAD_MS;
      expect(findDeparture(HOST, createSources([["h1", near]], [])))
        .toEqual({ at: near });
      expect(findDeparture(HOST, createSources([["h1", near + 1]], [])))
        .toBeUndefined();
    });

    it("uses the earlier date of the host and its fabric domain", () => {
      const sources = createSources([["h1", NOW + 500], ["fd-1", NOW + 9]], []);
      expect(findDeparture(HOST, sources)).toEqual({ at: NOW + 9 });
    });
  });

  describe("a host that the platform takes away", () => {
    it("leaves as soon as possible when its date is unreadable", () => {
      const leaving = { ...HOST, state: "leaving" as const, leavesAt: "soon" };
      expect(findDeparture(leaving, createSources([], [])))
        .toEqual({ at: undefined });
    });
  });

  describe("a drain that an operator asked for", () => {
    it("has no date, so that it does not wait for one", () => {
      const sources = createSources([["h1", NOW + 500]], ["h1"]);
      expect(findDeparture(HOST, sources)).toEqual({ at: undefined });
    });
  });
});

describe("isDrainDue", () => {
  describe("a date", () => {
    it("leaves requests time to finish before the host leaves", () => {
      expect(isDrainDue({ at: NOW + DRAIN_AHEAD_MS }, NOW)).toBe(true);
      expect(isDrainDue({ at: NOW + DRAIN_AHEAD_MS + 1 }, NOW)).toBe(false);
    });
  });
});
