import { describe, expect, it } from "vitest";
import { PeerLoads } from "../../src/peers/peer-loads.ts";

describe("PeerLoads", () => {
  describe("requests at an instance", () => {
    it("are summed over all peers", () => {
      const loads = new PeerLoads();
      loads.update("n-2", [["i-1", 2, null], ["i-2", 9, null]], 0);
      loads.update("n-3", [["i-1", 3, null]], 0);
      expect(loads.count("i-1")).toBe(5);
      expect(loads.count("i-3")).toBe(0);
    });

    it("are replaced by the next heartbeat, so that ended ones do not count", () => {
      const loads = new PeerLoads();
      loads.update("n-2", [["i-1", 2, null]], 0);
      loads.update("n-2", [], 150);
      expect(loads.count("i-1")).toBe(0);
    });

    it("of a disconnected peer are removed, so that they stop counting", () => {
      const loads = new PeerLoads();
      loads.update("n-2", [["i-1", 2, 10]], 1000);
      loads.remove("n-2");
      expect(loads.count("i-1")).toBe(0);
      expect(loads.findLastEventAt("i-1")).toBe(-Infinity);
    });

    it("are expected to be fewer, the older the heartbeat that reported them", () => {
      const loads = new PeerLoads();
      loads.update("n-2", [["i-1", 8, null]], 0);
      loads.update("n-3", [["i-1", 4, null]], 1000);
      expect(loads.estimateCount("i-1", 1000, 1000))
        .toBeCloseTo(8 / Math.E + 4);
    });
  });

  describe("events of an instance", () => {
    it("are dated by the latest one at any peer, by this node's clock", () => {
      const loads = new PeerLoads();
      loads.update("n-2", [["i-1", 1, 400]], 1000);
      loads.update("n-3", [["i-1", 1, 100]], 900);
      loads.update("n-4", [["i-1", 1, null]], 1000);
      expect(loads.findLastEventAt("i-1")).toBe(800);
    });
  });
});
