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

describe("watchDisconnect", () => {
  describe("a caller that disconnects before its response", () => {
    it("aborts in the event loop turn in which the caller's end is read", async () => {
      const wasAborted = new Promise<boolean>((resolve) => {
        void listen((request, response) => {
          const callerSignal = watchDisconnect(response);
          request.socket.once("end", () => resolve(callerSignal.aborted));
        }).then((port) => {
          const caller = connect(port, "127.0.0.1");
          caller.write(REQUEST, () => caller.end());
        });
      });
      expect(await wasAborted).toBe(true);
    });
  });

  describe("a caller that disconnects after its response", () => {
    it("does not abort, as nothing is left to be cancelled", async () => {
      let callerSignal: AbortSignal | undefined;
      const port = await listen((_request, response) => {
        callerSignal = watchDisconnect(response);
        response.end("whole");
      });
      await new Promise<void>((resolve) => {
        request({ port, agent: false }, (incoming) => {
          incoming.resume().on("close", () => resolve());
        }).end();
      });
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(callerSignal!.aborted).toBe(false);
    });
  });
});
