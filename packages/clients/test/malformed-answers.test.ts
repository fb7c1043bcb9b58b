import { Buffer } from "node:buffer";
import { SystemClock } from "@zinniahill/kernel";
import { createMalformedAnswers, RawServer } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EngineClient, PlainServiceClient } from "../src/index.ts";
import { GENERATE_REQUEST } from "./generate-request.ts";

const TIMEOUT_MS = 5000;
const clock = new SystemClock();

let server: RawServer;
let address: string;
let answer: string;

beforeEach(async () => {
  server = new RawServer((socket) => socket.write(answer, "latin1"));
  address = await server.listen();
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
      engines.generate(address, GENERATE_REQUEST, {
        timeoutMs: TIMEOUT_MS,
        usesNewConnection: true,
      }),
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
