import { Refusal } from "@zinniahill/schema";
import { type NodeKernel, Place, stopAsPlanned } from "@zinniahill/node";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { computeServeOnMs } from "../../src/planned-stop.ts";
import { TestPermit } from "../serving/test-permit.ts";
import { Cluster, createConfiguration, createPeerAddress } from "./cluster.ts";

describe("graceful shutdown", () => {
  let cluster: Cluster;
  let node: NodeKernel;

  beforeEach(async () => {
    cluster = new Cluster(3, (index) => ({
      dataCentre: index === 2 ? "dc-2" : "dc-1",
    }));
    cluster.platform.log.append("control", [
      createConfiguration("c", 0, "one"),
    ]);
    await cluster.startAll(2000);
    node = cluster.nodes[0]!;
  });
  afterEach(() => cluster.stop());

  /** Collects the addresses that a node returns to callers of a data centre. */
  function collectAddresses(index: number, dataCentre: string): Set<string> {
    const lookup = cluster.nodes[index]!.find("lookup");
    const answers = Array.from({ length: 200 }, () => lookup.find(dataCentre));
    return new Set(answers.map(({ address }) => address));
  }

  const PUBLIC_ADDRESSES = [
    "127.0.0.1:8000",
    "127.0.0.1:8001",
    "127.0.0.1:8002",
  ];

  describe("lookup", () => {
    it("returns the nodes of the caller's data centre at every node", () => {
      for (const index of [0, 1, 2]) {
        expect([...collectAddresses(index, "dc-1")].sort())
          .toEqual([PUBLIC_ADDRESSES[0], PUBLIC_ADDRESSES[1]]);
        expect([...collectAddresses(index, "dc-2")]).toEqual([
          PUBLIC_ADDRESSES[2],
        ]);
      }
    });

    it("returns the validity of an answer in ms", () => {
      expect(node.find("lookup").find("dc-1").validMs).toBe(5000);
    });

    it("leaves out a draining node at once, at every node", async () => {
      node.find("lifecycle").drain();
      expect([...collectAddresses(0, "dc-1")]).toEqual([PUBLIC_ADDRESSES[1]]);
      await cluster.clock.advance(10);
      expect([...collectAddresses(1, "dc-1")]).toEqual([PUBLIC_ADDRESSES[1]]);
      expect([...collectAddresses(2, "dc-1")]).toEqual([PUBLIC_ADDRESSES[1]]);
    });

    it("leaves out a silent node before its connection ends", async () => {
      const address = createPeerAddress(0);
      cluster.platform.network.setModeOfEnd(address, "silent");
      await cluster.clock.advance(3100);
      expect(cluster.nodes[1]!.find("peers").list().length).toBe(2);
      expect([...collectAddresses(1, "dc-1")]).toEqual([PUBLIC_ADDRESSES[1]]);
    });

    it("sends fewer callers to a node with a high load", async () => {
      node.find("peers").reportLoad(() => 0.98);
      await cluster.clock.advance(1500);
      const lookup = cluster.nodes[1]!.find("lookup");
      const answers = Array.from({ length: 1000 }, () => lookup.find("dc-1"));
      const count =
        answers.filter(({ address }) => address === PUBLIC_ADDRESSES[0]).length;
      expect(count).toBeGreaterThan(0);
      expect(count).toBeLessThan(150);
    });

    it("refuses when the only node drains", async () => {
      await cluster.stopNode(1);
      await cluster.stopNode(2);
      await cluster.clock.advance(100);
      node.find("lifecycle").drain();
      const find = () => node.find("lookup").find("dc-1");
      expect(find).toThrow(Refusal);
      expect(find).toThrow(expect.objectContaining({ verdict: "not-run" }));
    });
  });

  describe("drain", () => {
    let inFlight: number;
    let stopped: Promise<void>;

    beforeEach(() => {
      inFlight = 0;
      stopped = stopAsPlanned(node, () => inFlight);
    });

    /** Whether the node's services run, as seen by its peers. */
    function isRunning(): boolean {
      const peers = cluster.nodes[1]!.find("peers").list();
      return peers.some(({ hello }) => hello.node === "n0");
    }

    it("keeps serving for as long as callers may keep a lookup answer", async () => {
      node.find("lifecycle").drain();
      const { timing } = node.find("settings");
      await cluster.clock.advance(computeServeOnMs(timing) - 100);
      expect(isRunning()).toBe(true);
      expect(node.find("lifecycle").isClosing).toBe(false);
      await cluster.clock.advance(1000);
      await stopped;
      expect(isRunning()).toBe(false);
    });

    it("waits for requests in flight and refuses new ones", async () => {
      inFlight = 2;
      node.find("lifecycle").drain();
      await cluster.clock.advance(20_000);
      expect(isRunning()).toBe(true);
      expect(node.find("lifecycle").isClosing).toBe(true);
      inFlight = 0;
      await cluster.clock.advance(100);
      await stopped;
      expect(isRunning()).toBe(false);
    });

    it("ends within the bound although a request does not end", async () => {
      inFlight = 1;
      node.find("lifecycle").drain();
      const { "stop-bound": boundMs } = node.find("settings").timing;
      await cluster.clock.advance(boundMs - 100);
      expect(isRunning()).toBe(true);
      await cluster.clock.advance(200);
      await stopped;
      expect(isRunning()).toBe(false);
    });

    it("neither cuts requests nor restarts the drain on a second signal", async () => {
      inFlight = 1;
      node.find("lifecycle").drain();
      await cluster.clock.advance(10_000);
      node.find("lifecycle").drain();
      await cluster.clock.advance(1000);
      expect(isRunning()).toBe(true);
      expect(node.find("lifecycle").isClosing).toBe(true);
      inFlight = 0;
      await cluster.clock.advance(100);
      await stopped;
      expect(isRunning()).toBe(false);
    });
  });

  describe("with a stream in flight", () => {
    const TOKEN_COUNT = 120;
    const STEP_MS = 150;

    beforeEach(async () => {
      cluster.platform.addHost({
        host: "h1",
        address: "127.0.0.1:6001",
        dataCentre: "dc-1",
        fabricDomain: "fd-1",
        accelerators: 8,
        state: "live",
      }, { batchSize: 4, stepMs: STEP_MS, checksFence: true, loadMs: 100 });
      const text = "model one version=1 hosts=1 replicas=1 # the test";
      cluster.platform.log.append("control", [
        { ...createConfiguration("d", 1, "one"), text },
      ]);
      const evidence = node.find("evidence");
      await cluster.advanceUntil(
        60_000,
        () => evidence.listServable("one").length === 1,
      );
    });

    it("delivers every token before the node stops", async () => {
      let deliveredTokens = 0;
      let inFlight = 1;
      const stream = node.find("streams").run({
        request: "r1",
        model: "one",
        messages: [{ role: "user", content: "hello" }],
        maxTokens: TOKEN_COUNT,
        rank: "normal",
        place: new Place(new TestPermit()),
        deadline: cluster.clock.now() + 60_000,
        sink: {
          write: (_events, count) => {
            deliveredTokens += count;
          },
        },
      }, new AbortController().signal).finally(() => {
        inFlight = 0;
      });
      const stopped = stopAsPlanned(node, () => inFlight);
      await cluster.clock.advance(1000);
      expect(deliveredTokens).toBeGreaterThan(0);
      node.find("lifecycle").drain();
      await cluster.clock.advance(10_000);
      expect(deliveredTokens).toBeLessThan(TOKEN_COUNT);
      await cluster.clock.advance(20_000);
      const outcome = await stream;
      expect(outcome.isOk && outcome.value.attempts).toBe(1);
      expect(outcome.isOk && outcome.value.progress.next).toBe(TOKEN_COUNT);
      expect(deliveredTokens).toBe(TOKEN_COUNT);
      await stopped;
    });
  });
});
