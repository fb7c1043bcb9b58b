import type { NodeKernel, PeerConnection } from "@zinniahill/node";
import { MAX_PEER_MESSAGE_BYTES, type PeerMessage } from "@zinniahill/schema";
import { Packr } from "msgpackr";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { MAX_QUEUED_BYTES } from "../../src/peers/conversation.ts";
import {
  Cluster,
  createPeerAddress,
  RecordingLogger,
} from "../state/cluster.ts";
import {
  createHeartbeat,
  createHello,
  FaultyTransport,
  isEnded,
  sendAll,
} from "./links.ts";

const SNAPSHOT_REQUEST: PeerMessage = { kind: "snapshot-request" };
const EVIDENCE: PeerMessage = {
  kind: "evidence",
  hosts: [{ host: "h1", missing: true, ageMs: 0 }],
};

function listNames(node: NodeKernel): string[] {
  return node.find("peers").list().map(({ hello }) => hello.node).sort();
}

function listFaults(node: NodeKernel): unknown {
  const { faults } = node.find("peers").dump() as { faults: unknown };
  return faults;
}

describe("Peers", () => {
  let cluster: Cluster;
  let transports: FaultyTransport[];
  let logger: RecordingLogger;

  beforeEach(() => {
    cluster = new Cluster(3);
    transports = [];
    logger = new RecordingLogger();
  });
  afterEach(() => cluster.stop());

  async function startNode(index: number): Promise<NodeKernel> {
    const transport = new FaultyTransport(
      cluster.clock,
      cluster.createTransport(index),
    );
    transports[index] = transport;
    const replacements = { peerTransport: transport, logger };
    return await cluster.startNode(index, replacements);
  }

  async function startNodes(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      await startNode(index);
    }
    await cluster.clock.advance(2000);
  }

  /** Connects to node 0 as a node that the test plays itself. */
  async function connectGuest(): Promise<PeerConnection> {
    const transport = cluster.createTransport(900);
    const { signal } = new AbortController();
    return await transport.connect(createPeerAddress(0), signal);
  }

  describe("connections", () => {
    it("keeps one connection between two nodes that dial each other", async () => {
      await startNodes(3);
      await cluster.clock.advance(10_000);
      expect(cluster.nodes.map(listNames)).toEqual([
        ["n1", "n2"],
        ["n0", "n2"],
        ["n0", "n1"],
      ]);
      expect(transports.map(({ open }) => open.length)).toEqual([2, 2, 2]);
    });

    it("keeps the same one of two that nodes dial at the same time", async () => {
      cluster.platform.network.setModeOfEnd(createPeerAddress(1), "refuse");
      await startNodes(2);
      const [first, second] = transports;
      first!.latencyMs = 40;
      second!.latencyMs = 60;
      cluster.platform.network.setModeOfEnd(createPeerAddress(1), "pass");
      await cluster.clock.advance(10_000);
      expect(cluster.nodes.map(listNames)).toEqual([["n1"], ["n0"]]);
      expect(transports.map(({ open }) => open.length)).toEqual([1, 1]);
      // One connection was dialled by each node, and neither dials again.
      expect(transports.map(({ connections }) => connections.length))
        .toEqual([2, 2]);
    });

    it("keeps both connections quiet once one is chosen", async () => {
      await startNodes(3);
      await cluster.clock.advance(2000);
      const before = transports.map(({ connections }) => connections.length);
      await cluster.clock.advance(30_000);
      expect(transports.map(({ connections }) => connections.length))
        .toEqual(before);
    });

    for (const direction of ["losesSent", "losesReceived"] as const) {
      it(`replaces one that is silent in one direction (${direction})`, async () => {
        await startNodes(2);
        const [silent] = transports[0]!.open;
        silent![direction] = true;
        await cluster.clock.advance(10_000);
        expect(silent!.isClosed).toBe(true);
        expect(transports.map(({ open }) => open.length)).toEqual([1, 1]);
        expect(cluster.nodes.map(listNames)).toEqual([["n1"], ["n0"]]);
      });
    }

    it("replaces one that is silent in both directions", async () => {
      await startNodes(2);
      const [silent] = transports[0]!.open;
      silent!.losesSent = true;
      silent!.losesReceived = true;
      await cluster.clock.advance(10_000);
      expect(silent!.isClosed).toBe(true);
      expect(cluster.nodes.map(listNames)).toEqual([["n1"], ["n0"]]);
      // The node that notices first dials anew, which ends it for the other.
      const faults = cluster.nodes.map(listFaults);
      expect(faults).toContainEqual(expect.objectContaining({ silent: 1 }));
    });

    it("takes the new connection of a peer that lost the old one", async () => {
      await startNodes(2);
      const [own] = transports[0]!.open;
      const [far] = transports[1]!.open;
      own!.losesSent = true;
      await cluster.clock.advance(3000);
      far!.losesSent = true;
      await cluster.advanceUntil(5000, () => far!.isClosed);
      expect(own!.isClosed).toBe(false);
      await cluster.clock.advance(2000);
      expect(cluster.nodes.map(listNames)).toEqual([["n1"], ["n0"]]);
      expect(own!.isClosed).toBe(true);
    });

    it("connects again after a partition of the network", async () => {
      await startNodes(2);
      cluster.platform.network.setModeOfEnd(createPeerAddress(1), "silent");
      await cluster.clock.advance(60_000);
      expect(cluster.nodes.map(listNames)).toEqual([[], []]);
      cluster.platform.network.setModeOfEnd(createPeerAddress(1), "pass");
      await cluster.clock.advance(10_000);
      expect(cluster.nodes.map(listNames)).toEqual([["n1"], ["n0"]]);
    });

    it("takes a node back that restarts under its name", async () => {
      await startNodes(2);
      // The old connection is not closed, as after a power failure.
      transports[0]!.open[0]!.losesReceived = true;
      await cluster.stopNode(1);
      await startNode(1);
      await cluster.clock.advance(1000);
      expect(cluster.nodes.map(listNames)).toEqual([["n1"], ["n0"]]);
    });
  });

  describe("admission", () => {
    beforeEach(() => startNodes(2));

    it("refuses a second node of a name that is connected", async () => {
      const guest = await connectGuest();
      sendAll(guest, createHello({ node: "n1" }), createHeartbeat());
      await cluster.clock.advance(100);
      expect(await isEnded(guest)).toBe(true);
      expect(listFaults(cluster.nodes[0]!)).toMatchObject({
        "name-conflict": 1,
      });
      expect(listNames(cluster.nodes[0]!)).toEqual(["n1"]);
    });

    it("refuses a node of its own name and reports it", async () => {
      const guest = await connectGuest();
      sendAll(guest, createHello({ node: "n0" }));
      await cluster.clock.advance(100);
      expect(await isEnded(guest)).toBe(true);
      const closed = logger.events.find(({ event, fields }) =>
        event === "peer_connection_closed" && fields.reason === "name-conflict"
      );
      expect(closed).toBeDefined();
    });

    it("refuses another version of the protocol", async () => {
      const guest = await connectGuest();
      sendAll(guest, createHello({ protocol: 99 }));
      await cluster.clock.advance(100);
      expect(await isEnded(guest)).toBe(true);
      expect(listFaults(cluster.nodes[0]!)).toMatchObject({
        "wrong-protocol": 1,
      });
    });

    it("refuses messages before the greeting", async () => {
      const guest = await connectGuest();
      sendAll(guest, SNAPSHOT_REQUEST);
      await cluster.clock.advance(100);
      expect(await isEnded(guest)).toBe(true);
      expect(listFaults(cluster.nodes[0]!)).toMatchObject({ unexpected: 1 });
    });

    it("closes a connection that never greets", async () => {
      const guest = await connectGuest();
      await cluster.clock.advance(5000);
      expect(await isEnded(guest)).toBe(true);
    });
  });

  describe("messages", () => {
    let guest: PeerConnection;

    beforeEach(async () => {
      await startNodes(2);
      guest = await connectGuest();
      sendAll(guest, createHello(), createHeartbeat());
      await cluster.clock.advance(100);
      expect(listNames(cluster.nodes[0]!)).toEqual(["guest", "n1"]);
    });

    const packr = new Packr({ useRecords: false });
    const broken = {
      "that is not msgpack": new Uint8Array([0xc1, 0xff, 0x00]),
      "that is empty": new Uint8Array(0),
      "of an unknown kind": packr.pack({ kind: "later" }),
      "of a wrong shape": packr.pack({ kind: "heartbeat", sequence: "one" }),
      "that is no object": packr.pack(7),
    };
    for (const [what, bytes] of Object.entries(broken)) {
      it(`closes the connection on a message ${what}`, async () => {
        guest.send(bytes);
        await cluster.clock.advance(100);
        expect(await isEnded(guest)).toBe(true);
        expect(listFaults(cluster.nodes[0]!)).toMatchObject({ malformed: 1 });
        expect(listNames(cluster.nodes[0]!)).toEqual(["n1"]);
      });
    }

    it("closes the connection on a message that is too large", async () => {
      guest.send(new Uint8Array(MAX_PEER_MESSAGE_BYTES + 1));
      await cluster.clock.advance(100);
      expect(await isEnded(guest)).toBe(true);
      expect(listFaults(cluster.nodes[0]!)).toMatchObject({ "too-large": 1 });
    });

    it("keeps the connection when a listener of a message fails", async () => {
      cluster.nodes[0]!.find("peers").onMessage("evidence", () => {
        throw new Error("listener");
      });
      sendAll(guest, EVIDENCE);
      await cluster.clock.advance(100);
      expect(listNames(cluster.nodes[0]!)).toEqual(["guest", "n1"]);
      expect(logger.count("peer_listener_failed")).toBe(1);
    });

    it("closes the connection of a peer that reads too slowly", async () => {
      const [first] = transports[0]!.open;
      first!.queuedBytes = MAX_QUEUED_BYTES + 1;
      await cluster.clock.advance(1500);
      expect(first!.isClosed).toBe(true);
      expect(listFaults(cluster.nodes[0]!)).toMatchObject({ overflow: 1 });
    });

    it("gives a message to its listeners with the sender's name", async () => {
      const heard: string[] = [];
      cluster.nodes[0]!.find("peers").onMessage("evidence", (node) => {
        heard.push(node);
      });
      cluster.nodes[1]!.find("peers").broadcast(EVIDENCE);
      await cluster.clock.advance(100);
      expect(heard).toEqual(["n1"]);
    });
  });

  describe("heartbeats", () => {
    it("report the load that the registered source gives", async () => {
      await startNodes(2);
      cluster.nodes[0]!.find("peers").reportLoad(() => 0.4);
      await cluster.clock.advance(1500);
      const [peer] = cluster.nodes[1]!.find("peers").list();
      expect(peer?.heartbeat?.load).toBe(0.4);
    });

    it("tell peers of a planned stop at once", async () => {
      await startNodes(2);
      await cluster.clock.advance(300);
      cluster.nodes[0]!.find("lifecycle").drain();
      await cluster.clock.advance(1);
      const [peer] = cluster.nodes[1]!.find("peers").list();
      expect(peer?.heartbeat?.stopping).toBe(true);
    });
  });
});
