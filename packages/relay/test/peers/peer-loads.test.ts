import { describe, expect, it } from "vitest";
import { PeerLoads } from "../../src/peers/peer-loads.ts";

describe("PeerLoads", () => {
  describe("requests at an instance", () => {
    it("are added up over all peers", () => {
      const work = new PeerLoads();
      work.update("n-2", [["i-1", 2, null], ["i-2", 9, null]], 0);
      work.update("n-3", [["i-1", 3, null]], 0);
      expect(work.count("i-1")).toBe(5);
      expect(work.count("i-3")).toBe(0);
    });

    it("are replaced by the next beat, so that ended ones do not count", () => {
      const work = new PeerLoads();
      work.update("n-2", [["i-1", 2, null]], 0);
      work.update("n-2", [], 150);
      expect(work.count("i-1")).toBe(0);
    });

    it("of a lost peer are forgotten, as they would count for ever", () => {
      const work = new PeerLoads();
      work.update("n-2", [["i-1", 2, 10]], 1000);
      work.remove("n-2");
      expect(work.count("i-1")).toBe(0);
      expect(work.findLastEventAt("i-1")).toBe(-Infinity);
    });

    it("survive the less, the older the beat that names them", () => {
      const work = new PeerLoads();
      work.update("n-2", [["i-1", 8, null]], 0);
      work.update("n-3", [["i-1", 4, null]], 1000);
      expect(work.estimateCount("i-1", 1000, 1000))
        .toBeCloseTo(8 / Math.E + 4);
    });
  });

  describe("events of an instance", () => {
    it("are known by the latest of any peer, by this node's clock", () => {
      const work = new PeerLoads();
      work.update("n-2", [["i-1", 1, 400]], 1000);
      work.update("n-3", [["i-1", 1, 100]], 900);
      work.update("n-4", [["i-1", 1, null]], 1000);
      expect(work.findLastEventAt("i-1")).toBe(800);
    });
  });
});
