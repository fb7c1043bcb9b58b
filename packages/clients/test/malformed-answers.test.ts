import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Server } from "node:net";
import { SystemClock } from "@zinniahill/kernel";
import { createMalformedAnswers } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EngineClient, PlainServiceClient } from "../src/index.ts";

const TIMEOUT_MS = 5000;
const clock = new SystemClock();

let server: Server;
let address: string;
let answer: string;

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(answer, "latin1"));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.close();
});

// Guards against MIXED: what is no HTTP response was returned as an answer.
describe("an answer whose head is malformed may have run", () => {
  const plain = new PlainServiceClient(clock);
  const engines = new EngineClient(clock);
  const calls = {
    "of a plain service": () =>
      plain.call(address, {
        method: "POST",
        path: "/writes",
        headers: {},
        body: Buffer.from("x"),
      }, TIMEOUT_MS),
    "that begins a stream": () =>
      engines.generate(address, {
        request: "r",
        group: "g",
        model: "m",
        messages: [],
        maxTokens: 1,
        priority: 0,
        offset: 0,
      }, { timeoutMs: TIMEOUT_MS, usesNewConnection: true }),
    // Takes any JSON value.
    "of a JSON call": () => engines.cancel(address, "r"),
  };
  const answers = createMalformedAnswers()
    .map(({ name, bytes }) => [name, bytes] as const);

  describe.each(Object.entries(calls))("%s", (_name, call) => {
    it.each(answers)("%s", async (_answer, bytes) => {
      answer = bytes;
      const reply = await call();
      expect(reply.isErr && reply.error.verdict).toBe("may-have-run");
    });
  });
});
