import { describe, expect, it } from "vitest";
import type { NodeEntry } from "../../src/index.ts";
import { NodeDirectory } from "../../src/peers/node-directory.ts";

function createEntry(name: string, incarnation: string): NodeEntry {
  return {
    name,
    incarnation,
    dataCentre: "a",
    publicAddress: "10.0.0.1:80",
    peerAddress: "10.0.0.1:81",
  };
}

describe("NodeDirectory", () => {
  describe("an earlier process that a restored store lists", () => {
    // Guards against messages of a live node that are dropped as those of an
    // unknown process; in the wrong order, neither may stay hidden.
    it("replaces the later one only if that is not heard", () => {
      const directory = new NodeDirectory(createEntry("n-1", "own"));
      const [earlier, later] = ["earlier", "later"]
        .map((incarnation) => createEntry("n-2", incarnation));
      expect(directory.add(earlier!, false)).toBe(true);
      expect(directory.add(later!, true)).toBe(true);
      expect(directory.add(earlier!, true)).toBe(false);
      expect(directory.find("n-2")).toBe(later);
      expect(directory.add(earlier!, false)).toBe(true);
      expect(directory.add(later!, false)).toBe(true);
    });
  });
});
