import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { watchDisconnect } from "../../src/serving/caller-disconnect.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";

let server: Server | undefined;

async function listen(
  onRequest: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<number> {
  server = createServer(onRequest);
  await new Promise<void>((resolve) => server!.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
  server = undefined;
});

describe("watchCaller", () => {
  describe("a caller that leaves before its reply", () => {
    it("aborts in the turn in which the caller's end is read", async () => {
      const seen = new Promise<boolean>((resolve) => {
        void listen((request, response) => {
          const gone = watchDisconnect(response);
          request.socket.once("end", () => resolve(gone.aborted));
        }).then((port) => {
          const caller = connect(port, "127.0.0.1");
          caller.write(REQUEST, () => caller.end());
        });
      });
      expect(await seen).toBe(true);
    });
  });

  describe("a caller that leaves after its reply", () => {
    it("is not taken for gone, as nothing is left to be cancelled", async () => {
      let gone: AbortSignal | undefined;
      const port = await listen((_request, response) => {
        gone = watchDisconnect(response);
        response.end("whole");
      });
      await new Promise<void>((resolve) => {
        request({ port, agent: false }, (incoming) => {
          incoming.resume().on("close", () => resolve());
        }).end();
      });
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(gone!.aborted).toBe(false);
    });
  });
});
