import { ManualClock } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import type { MessageOf, NodeEntry } from "../../src/model/peer-message.ts";
import { PeerTable } from "../../src/peers/peer-table.ts";

const PEER: NodeEntry = {
  name: "n-2",
  incarnation: "first",
  dataCentre: "a",
  publicAddress: "10.0.0.2:80",
  peerAddress: "10.0.0.2:81",
};

function createHeartbeat(
  sequence: number,
  isServing: boolean,
): MessageOf<"beat"> {
  return {
    kind: "beat",
    sequence,
    isUrgent: false,
    isServing,
    holdsPlacement: false,
    seeksPlacement: false,
    capacity: 1,
    offsets: { configuration: 0, instances: 0 },
    agesMs: { configuration: 0, instances: 0 },
    outstanding: [],
    harmfulParts: [{ parts: ["p"], ageMs: 40 }],
    forwarded: [],
  };
}

describe("the table of other nodes", () => {
  describe("a node that shuts down", () => {
    // Guards against shares that are kept for a node that serves no callers.
    it("is withdrawn until it serves again, also once it is gone", () => {
      const table = new PeerTable(new ManualClock());
      table.recordMessage(PEER, PEER.name);
      table.recordHeartbeat(PEER, createHeartbeat(1, true));
      expect(table.isWithdrawn(PEER.name)).toBe(false);
      table.recordHeartbeat(PEER, createHeartbeat(2, false));
      table.remove(PEER.name);
      expect(table.isWithdrawn(PEER.name)).toBe(true);
      const restarted = { ...PEER, incarnation: "second" };
      table.recordMessage(restarted, PEER.name);
      table.recordHeartbeat(restarted, createHeartbeat(1, true));
      expect(table.isWithdrawn(PEER.name)).toBe(false);
    });

    it("keeps its share if it only falls silent", () => {
      const table = new PeerTable(new ManualClock());
      table.recordMessage(PEER, PEER.name);
      table.recordHeartbeat(PEER, createHeartbeat(1, true));
      table.remove(PEER.name);
      expect(table.isWithdrawn(PEER.name)).toBe(false);
    });
  });

  describe("a heartbeat that came through others", () => {
    it("passes on its harmful parts with their full age", () => {
      const table = new PeerTable(new ManualClock());
      const ages: number[] = [];
      table.onHarmfulParts = (reported) =>
        ages.push(...reported.map(({ ageMs }) => ageMs));
      table.recordMessage(PEER, "hub");
      table.recordHeartbeat(PEER, createHeartbeat(1, true), 60);
      expect(ages).toEqual([100]);
    });
  });
});
