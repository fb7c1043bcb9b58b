import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { closeAfterLinger, ServerConnections } from "../src/index.ts";

const LINGER_MS = 300;
const SLOW_MS = 100;
const GET_SLOW = "GET /slow HTTP/1.1\r\nhost: a.example\r\n\r\n";
const GET = "GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";
const UNFINISHED = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx";

describe("ServerConnections", () => {
  let server: Server;
  let connections: ServerConnections;

  beforeEach(async () => {
    server = createServer((request, response) => {
      if (request.method === "POST") {
        closeAfterLinger(response, LINGER_MS);
      }
      if (request.url === "/slow") {
        response.write("begun");
        setTimeout(() => response.end("whole"), SLOW_MS);
        return;
      }
      response.end("whole");
    });
    connections = new ServerConnections(server);
    await new Promise<void>((resolve) => server.listen(0, resolve));
  });

  afterEach(() => connections.destroy());

  /** Opens a connection that stays open after the server's end. */
  function open(): Socket {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, allowHalfOpen: true });
    return socket.setEncoding("utf8").on("error", () => {});
  }

  describe("a connection that is refused while its caller sends", () => {
    // Guards against a refusal that is lost by a reset: the server's own close
    // followed the response at once, in spite of the linger.
    it("stays open for the linger", async () => {
      const socket = open();
      socket.write(UNFINISHED);
      const [accepted] = await once(server, "connection");
      await sleep(LINGER_MS / 2);
      expect(accepted.destroyed).toBe(false);
      await sleep(LINGER_MS);
      expect(accepted.destroyed).toBe(true);
      socket.destroy();
    });
  });

  describe("a request that cannot be read", () => {
    // Guards against an earlier answer that is cut, or goes on after a refusal.
    it("is refused after the answers to earlier ones", async () => {
      const socket = open();
      let received = "";
      socket.on("data", (text) => received += text);
      socket.write(`${GET_SLOW}no request\r\n\r\n`);
      await once(socket, "end");
      expect(received).toMatch(/whole\r\n0\r\n\r\nHTTP\/1\.1 400 /);
      socket.destroy();
    });

    // Guards against a refusal in the middle of an answer, as the caller has
    // ended its side within a request.
    it("is not refused if its caller has ended the connection", async () => {
      const socket = open();
      let received = "";
      socket.on("data", (text) => received += text);
      socket.end(`${GET_SLOW}GET / HT`);
      await once(socket, "end");
      expect(received.match(/^HTTP/gm)).toHaveLength(1);
      socket.destroy();
    });
  });

  describe("finish", () => {
    it("answers a request that is on its way on a new connection", async () => {
      const socket = open();
      await once(server, "connection");
      const finished = connections.finish(2000);
      socket.write(GET);
      const [first] = await once(socket, "data");
      expect(first).toContain("whole");
      socket.end();
      await finished;
    });
  });
});
