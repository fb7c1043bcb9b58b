import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { closeAfterLinger } from "../src/index.ts";

const LINGER_MS = 100;
let server: Server | undefined;

/** Starts a server that refuses each request without reading its body. */
async function startRefusing(): Promise<number> {
  const started = createServer((_request, response) => {
    closeAfterLinger(response, LINGER_MS);
    response.writeHead(413).end("too large");
  });
  server = started;
  await new Promise<void>((resolve) => started.listen(0, resolve));
  return (started.address() as AddressInfo).port;
}

/** Sends a body without end; the result is what was received until the close. */
function sendEndlessBody(port: number): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    const write = () => {
      while (socket.write(`3e8\r\n${"x".repeat(1000)}\r\n`)) {
        // Writes until the socket's buffer is full.
      }
    };
    socket.write("POST / HTTP/1.1\r\nhost: x\r\n");
    socket.write("transfer-encoding: chunked\r\n\r\n");
    write();
    socket.on("drain", write);
    socket.on("data", (data) => received += data);
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
  });
}

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

describe("a connection that is closed after a linger", () => {
  describe("whose caller sends a body without end", () => {
    it("delivers the response and ends", async () => {
      const received = await sendEndlessBody(await startRefusing());
      expect(received).toMatch(/^HTTP\/1\.1 413 /);
      expect(received).toContain("too large");
    }, 10 * LINGER_MS);
  });
});
