import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { createMalformedAnswers, RawServer } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { collectBody, Exchange } from "../../src/serving/exchange.ts";
import type { UpstreamConnection } from "../../src/serving/upstream-connection.ts";

const DONE = new Error("the test has ended");
const SOUND = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n1234";
const INFORMATIONAL = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

let server: RawServer;
let address: string;
/** Answers each request, by the number of earlier ones on its connection. */
let answer: (socket: Socket, earlier: number) => void;

beforeEach(async () => {
  server = new RawServer((socket) => {
    let requests = 0;
    answer(socket, requests++);
    socket.on("data", () => answer(socket, requests++));
  });
  address = await server.listen();
});

afterEach(() => {
  server.close();
});

function sendOn(exchange: Exchange, method = "GET") {
  return exchange.send({
    address,
    method,
    target: "/path/",
    headers: ["host", "a.example"],
    body: Buffer.alloc(0),
    maxAnswerBytes: 1024 * 1024,
  });
}

async function isRefused(method?: string): Promise<boolean> {
  const exchange = new Exchange(address);
  const sent = await sendOn(exchange, method);
  exchange.close(DONE);
  return sent.isErr && sent.error.verdict === "may-have-run";
}

/** Leaves a connection that has carried a sound answer. */
async function createKeptConnection(): Promise<UpstreamConnection> {
  const kept: UpstreamConnection[] = [];
  const exchange = new Exchange(address, {
    keep: (connection) => kept.push(connection),
  });
  const sent = await sendOn(exchange);
  await collectBody(sent.unwrapOr(undefined!).body);
  exchange.close(DONE);
  return kept[0]!;
}

// Guards against MIXED: what is no HTTP response reached callers as an answer.
describe("an answer whose head is malformed is no response", () => {
  const answers = createMalformedAnswers(["x-attempt-id: a"])
    .map(({ name, bytes }) => [name, bytes] as const);

  describe.each(answers)("%s", (_name, bytes) => {
    it("as the first one of a connection", async () => {
      answer = (socket) => void socket.write(bytes, "latin1");
      expect(await isRefused()).toBe(true);
    });

    it("before the connection ends", async () => {
      answer = (socket) => void socket.end(bytes, "latin1");
      expect(await isRefused()).toBe(true);
    });

    it("before the connection is reset", async () => {
      answer = (socket) =>
        void socket.write(bytes, "latin1", () => socket.resetAndDestroy());
      expect(await isRefused()).toBe(true);
    });

    it("after an informational head", async () => {
      answer = (socket) => void socket.write(INFORMATIONAL + bytes, "latin1");
      expect(await isRefused()).toBe(true);
    });

    it("to a HEAD request", async () => {
      answer = (socket) => void socket.write(bytes, "latin1");
      expect(await isRefused("HEAD")).toBe(true);
    });

    it("in packets of one byte", async () => {
      answer = async (socket) => {
        socket.setNoDelay(true);
        for (const byte of Buffer.from(bytes, "latin1")) {
          socket.write(Buffer.of(byte));
          await setImmediate();
        }
      };
      expect(await isRefused()).toBe(true);
    });

    it("on a connection that was kept", async () => {
      answer = (socket, earlier) =>
        void socket.write(earlier === 0 ? SOUND : bytes, "latin1");
      const exchange = new Exchange(address, {
        kept: await createKeptConnection(),
        keep: () => {},
      });
      const sent = await sendOn(exchange);
      exchange.close(DONE);
      expect(sent.isErr && sent.error.verdict).toBe("may-have-run");
    });
  });
});
