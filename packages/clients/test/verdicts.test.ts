import { Buffer } from "node:buffer";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { SystemClock } from "@zinniahill/kernel";
import {
  createFault,
  EngineClient,
  PlainServiceClient,
} from "@zinniahill/clients";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const TIMEOUT_MS = 5000;
const PLAIN_CALL = {
  method: "POST",
  path: "/writes",
  headers: {},
  body: Buffer.from("x"),
};
const GENERATE = {
  request: "r",
  group: "g",
  model: "m",
  messages: [],
  maxTokens: 1,
  priority: 0,
  offset: 0,
};

describe("verdicts of faults", () => {
  describe("errors of the connection", () => {
    it("is not-run when the connection itself was refused", () => {
      const failure = Object.assign(new Error("x"), {
        code: "ECONNREFUSED",
        syscall: "connect",
      });
      expect(createFault(failure).verdict).toBe("not-run");
      const wrapped = new Error("fetch failed", { cause: failure });
      expect(createFault(wrapped).verdict).toBe("not-run");
    });

    it.each(["EHOSTUNREACH", "ENETUNREACH", "ECONNRESET", "EPIPE"])(
      "is may-have-run when an open connection fails with %s",
      (code) => {
        const failure = Object.assign(new Error("x"), {
          code,
          syscall: "read",
        });
        expect(createFault(failure).verdict).toBe("may-have-run");
      },
    );
  });

  describe("replies", () => {
    let server: Server;
    let address: string;
    let answer: (response: ServerResponse) => void;
    const plain = new PlainServiceClient(new SystemClock());
    const engines = new EngineClient(new SystemClock());

    beforeEach(async () => {
      server = createServer((request, response) => {
        request.resume().on("end", () => answer(response));
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    afterEach(() => {
      server.closeAllConnections();
      server.close();
    });

    const callPlain = () => plain.call(address, PLAIN_CALL, TIMEOUT_MS);
    const generate = () =>
      engines.generate(address, GENERATE, {
        timeoutMs: TIMEOUT_MS,
        usesNewConnection: false,
      });

    it("is not-run when nothing listens", async () => {
      server.close();
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("not-run");
    });

    it("is not-run for a 503 that says so", async () => {
      answer = (response) =>
        response.writeHead(503, { "x-not-run": "1" }).end();
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("not-run");
    });

    it("takes a 503 that does not say so as the call's reply", async () => {
      answer = (response) => response.writeHead(503).end("busy");
      const reply = await callPlain();
      expect(reply.isOk && reply.value.status).toBe(503);
    });

    it("is may-have-run when the connection ends without a reply", async () => {
      answer = (response) => response.destroy();
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("may-have-run");
    });

    it("is ran for a reply that is too large to pass on", async () => {
      answer = (response) => response.end(Buffer.alloc(9 * 1024 * 1024));
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("ran");
    });

    it.each([
      [409, "not-run"],
      [503, "not-run"],
      [500, "may-have-run"],
      [504, "may-have-run"],
      [408, "may-have-run"],
    ])("of an engine's status %d is %s", async (status, verdict) => {
      answer = (response) => response.writeHead(status).end("{}");
      const reply = await generate();
      expect(reply.isErr && reply.error.verdict).toBe(verdict);
    });
  });
});
