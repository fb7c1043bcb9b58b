import { describe, expect, it } from "vitest";
import { PeerWork } from "../../src/peers/peer-work.ts";

describe("PeerWork", () => {
  it("adds up what all peers have at an instance", () => {
    const work = new PeerWork();
    work.put("n-2", [["i-1", 2, null], ["i-2", 9, null]], 0);
    work.put("n-3", [["i-1", 3, null]], 0);
    expect(work.count("i-1")).toBe(5);
    expect(work.count("i-3")).toBe(0);
  });

  it("replaces what a peer said before, so that ended requests do not count", () => {
    const work = new PeerWork();
    work.put("n-2", [["i-1", 2, null]], 0);
    work.put("n-2", [], 150);
    expect(work.count("i-1")).toBe(0);
  });

  it("forgets a lost peer, so that its requests do not count for ever", () => {
    const work = new PeerWork();
    work.put("n-2", [["i-1", 2, 10]], 1000);
    work.forget("n-2");
    expect(work.count("i-1")).toBe(0);
    expect(work.findEventAt("i-1")).toBe(-Infinity);
  });

  it("knows the latest event of any peer, by this node's clock", () => {
    const work = new PeerWork();
    work.put("n-2", [["i-1", 1, 400]], 1000);
    work.put("n-3", [["i-1", 1, 100]], 900);
    work.put("n-4", [["i-1", 1, null]], 1000);
    expect(work.findEventAt("i-1")).toBe(800);
  });
});
