import { createSocket, type Socket } from "node:dgram";
import { describe, expect, it } from "vitest";
import { Metrics } from "../src/metrics.ts";

function openCollector(): Promise<{ socket: Socket; address: string }> {
  const socket = createSocket("udp4");
  return new Promise((resolve) => {
    socket.bind(0, "127.0.0.1", () => {
      resolve({ socket, address: `127.0.0.1:${socket.address().port}` });
    });
  });
}

describe("Metrics", () => {
  describe("with a collector", () => {
    it("sends each value with the node's name, so nodes can be told apart", async () => {
      const { socket, address } = await openCollector();
      const received = new Promise<string>((resolve) => {
        socket.once("message", (bytes) => resolve(String(bytes)));
      });
      const metrics = new Metrics(address, "node-1");
      metrics.count("requests", 1, { rank: "urgent" });
      const text = await received;
      expect(text).toContain("zinniahill.requests:1|c");
      expect(text).toContain("node:node-1");
      expect(text).toContain("rank:urgent");
      await metrics.stop();
      socket.close();
    });
  });

  describe("without a collector", () => {
    it("sends nothing and does not fail", async () => {
      const metrics = new Metrics(undefined, "node-1");
      metrics.gauge("load", 1);
      await expect(metrics.stop()).resolves.toBeUndefined();
    });
  });
});
