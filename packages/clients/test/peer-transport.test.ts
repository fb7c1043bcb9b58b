import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { PeerConnection } from "@zinniahill/node";
import { MAX_PEER_MESSAGE_BYTES } from "@zinniahill/schema";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { WebSocketTransport } from "../src/index.ts";

const TOKEN = "0123456789abcdef";

/** Returns a loopback address that nothing listens on. */
async function findUnusedAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

describe("WebSocketTransport", () => {
  let address: string;
  let listener: WebSocketTransport;
  let accepted: Promise<PeerConnection>;
  const { signal } = new AbortController();

  beforeEach(async () => {
    address = await findUnusedAddress();
    listener = new WebSocketTransport(TOKEN);
    accepted = new Promise((resolve) => {
      void listener.listen(address, resolve);
    });
  });
  afterEach(() => listener.stop());

  async function connect(token = TOKEN): Promise<PeerConnection> {
    return await new WebSocketTransport(token).connect(address, signal);
  }

  describe("connections", () => {
    it("carry messages in both directions", async () => {
      const client = await connect();
      const server = await accepted;
      client.send(new Uint8Array([1, 2]));
      server.send(new Uint8Array([3]));
      expect([...(await server.receive(signal))!]).toEqual([1, 2]);
      expect([...(await client.receive(signal))!]).toEqual([3]);
      client.close();
      expect(await server.receive(signal)).toBeUndefined();
    });

    it("are refused to a node with a wrong token", async () => {
      await expect(connect("another-token-000")).rejects.toThrow("401");
    });

    it("fail if nothing listens at the address", async () => {
      const other = await findUnusedAddress();
      await expect(new WebSocketTransport(TOKEN).connect(other, signal))
        .rejects.toThrow();
    });
  });

  describe("limits", () => {
    it("close on an oversized message and keep the reason", async () => {
      const client = await connect();
      const server = await accepted;
      client.send(new Uint8Array(MAX_PEER_MESSAGE_BYTES + 1));
      expect(await server.receive(signal)).toBeUndefined();
      expect(server.failure).toContain("Max payload size exceeded");
    });
  });
});
