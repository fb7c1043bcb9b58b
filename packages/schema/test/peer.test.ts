import { Packr } from "msgpackr";
import { describe, expect, it } from "vitest";
import {
  ControlSnapshot,
  decodePeerMessage,
  encodePeerMessage,
  MAX_PEER_MESSAGE_BYTES,
  type PeerMessage,
} from "../src/index.ts";

/** Bandwidth that control messages may use per node. */
const CONTROL_BYTES_PER_SECOND = 5000;
const CONNECTIONS = 8;

const HEARTBEAT: PeerMessage = {
  kind: "heartbeat",
  sequence: 86_400,
  configurationVersion: 1_000_000,
  controlOffset: 10_000_000,
  logReachable: true,
  load: 0.123456,
  stopping: false,
};

const SNAPSHOT = {
  asOf: 3,
  configuration: { version: 1, text: "", author: "a" },
  leases: [],
  groups: [],
  heldHosts: [],
  drainedHosts: ["h1"],
};

describe("messages between nodes", () => {
  describe("codec", () => {
    it("decodes what was encoded", () => {
      const decoded = decodePeerMessage(encodePeerMessage(HEARTBEAT));
      expect(decoded.isOk && decoded.value).toEqual(HEARTBEAT);
    });

    it("returns an error for bytes that are not a message", () => {
      const packr = new Packr({ useRecords: false });
      const broken = [
        new Uint8Array(0),
        new Uint8Array([0xc1]),
        packr.pack(null),
        packr.pack({ kind: "later" }),
        packr.pack({ ...HEARTBEAT, load: Number.NaN }),
      ];
      for (const bytes of broken) {
        expect(decodePeerMessage(bytes).isErr).toBe(true);
      }
    });

    it("refuses a message over the size limit without decoding it", () => {
      const bytes = new Uint8Array(MAX_PEER_MESSAGE_BYTES + 1);
      expect(decodePeerMessage(bytes)).toMatchObject({
        error: "the message is too large",
      });
    });
  });

  describe("size", () => {
    it("keeps heartbeats of all connections under half of the bandwidth", () => {
      const { length } = encodePeerMessage(HEARTBEAT);
      expect(2 * CONNECTIONS * length).toBeLessThan(
        CONTROL_BYTES_PER_SECOND / 2,
      );
    });
  });

  describe("snapshots", () => {
    it("reads a checkpoint that was written without decisions", () => {
      expect(ControlSnapshot.parse(SNAPSHOT).decisions).toEqual([]);
    });
  });
});
