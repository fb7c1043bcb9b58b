import { Buffer } from "node:buffer";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { ManualClock } from "@zinniahill/kernel";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StreamedReply } from "../../src/serving/chat-reply.ts";

const EVENTS = Buffer.alloc(256 * 1024, "x");
const HEADER = { request: "r", model: "m", created: 0, includesUsage: false };

describe("StreamedReply", () => {
  let server: Server;
  let caller: Socket;
  let response: ServerResponse;
  const clock = new ManualClock();

  beforeEach(async () => {
    const arrived = new Promise<ServerResponse>((resolve) => {
      server = createServer((_request, reply) => resolve(reply));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    caller.pause();
    caller.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    response = await arrived;
  });

  afterEach(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });

  /** Writes until the reply asks to wait. */
  const fill = (): Promise<void> => {
    const reply = new StreamedReply(clock, response, HEADER);
    let wait = reply.write(EVENTS);
    while (wait === undefined) {
      wait = reply.write(EVENTS);
    }
    return wait;
  };

  describe("a caller that does not read", () => {
    it("makes the stream wait instead of holding its events", async () => {
      let isReady = false;
      const wait = fill().then(() => isReady = true);
      await clock.advance(1000);
      expect(isReady).toBe(false);
      caller.resume();
      await wait;
      expect(response.destroyed).toBe(false);
    });

    it("loses its connection after the limit, which ends the stream", async () => {
      const wait = fill();
      await clock.advance(30_000);
      await wait;
      expect(response.destroyed).toBe(true);
    });
  });
});
