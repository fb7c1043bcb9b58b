import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { SystemClock } from "@zinniahill/kernel";
import {
  createConnector,
  createFault,
  EngineClient,
  PlainServiceClient,
} from "@zinniahill/clients";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { GENERATE_REQUEST } from "./generate-request.ts";

const TIMEOUT_MS = 5000;
/** Listens in a thread that accepts nothing, so that its backlog fills up. */
const UNRESPONSIVE_SERVER = `
  const server = require("node:net").createServer();
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    require("node:worker_threads").parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20_000);
  });
`;
const PLAIN_CALL = {
  method: "POST",
  path: "/writes",
  headers: {},
  body: Buffer.from("x"),
};

/** Connects and returns what the connector passes on. */
function openConnection(
  port: number,
  timeoutMs: number,
): Promise<readonly [Error | null, Socket | null]> {
  const options = {
    hostname: "127.0.0.1",
    port: String(port),
    protocol: "http:",
  };
  return new Promise((resolve) =>
    createConnector(timeoutMs)(options, (...result) => resolve(result))
  );
}

describe("verdict of a fault", () => {
  describe("connection errors", () => {
    it("is not-run if the connection was refused", () => {
      const failure = Object.assign(new Error("x"), {
        code: "ECONNREFUSED",
        syscall: "connect",
      });
      expect(createFault(failure).verdict).toBe("not-run");
      const wrapped = new Error("fetch failed", { cause: failure });
      expect(createFault(wrapped).verdict).toBe("not-run");
    });

    // Guards against an unreachable host that is held for one whose process
    // has ended.
    it.each([["ECONNREFUSED", true], ["EHOSTUNREACH", undefined]])(
      "says after %s whether the connection was refused",
      (code, isRefused) => {
        const failure = Object.assign(new Error("x"), {
          code,
          syscall: "connect",
        });
        const { isConnectionRefused } = createFault(failure);
        expect(isConnectionRefused).toBe(isRefused);
      },
    );

    it("says so of an engine's address at which nothing listens", async () => {
      const engines = new EngineClient(new SystemClock());
      const reply = await engines.probe("127.0.0.1:1", 1000);
      await engines.stop();
      expect(reply.isErr && reply.error.isConnectionRefused).toBe(true);
    });

    it("is not-run if no connection was established in time", async () => {
      const worker = new Worker(UNRESPONSIVE_SERVER, { eval: true });
      const [port] = await once(worker, "message");
      const fillers = Array.from(
        { length: 4 },
        () => connect(port, "127.0.0.1").on("error", () => {}),
      );
      await once(fillers[0]!, "connect");
      const [failure] = await openConnection(port, 100);
      expect(failure).toMatchObject({ code: "ETIMEDOUT" });
      expect(createFault(failure).verdict).toBe("not-run");
      fillers.forEach((filler) => filler.destroy());
      await worker.terminate();
    });

    // Guards against a sound connection that is given up because the process
    // stood still for longer than the timeout.
    it("is none if a connection was established during a pause of the process", async () => {
      const server = createServer();
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      const opened = openConnection(port, 10);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 50);
      const [failure, socket] = await opened;
      expect(failure).toBeNull();
      socket?.destroy();
      server.close();
    });

    it.each([
      "EHOSTUNREACH",
      "ENETUNREACH",
      "ECONNRESET",
      "EPIPE",
      "ETIMEDOUT",
    ])(
      "is may-have-run if an open connection fails with %s",
      (code) => {
        const failure = Object.assign(new Error("x"), {
          code,
          syscall: "read",
        });
        expect(createFault(failure).verdict).toBe("may-have-run");
      },
    );
  });

  describe("responses", () => {
    let server: Server;
    let address: string;
    let respond: (response: ServerResponse) => void;
    const plain = new PlainServiceClient(new SystemClock());
    const engines = new EngineClient(new SystemClock());

    beforeEach(async () => {
      server = createServer((request, response) => {
        request.resume().on("end", () => respond(response));
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
      engines.generate(address, GENERATE_REQUEST, {
        timeoutMs: TIMEOUT_MS,
        usesNewConnection: false,
      });

    it("is not-run if nothing listens at the address", async () => {
      server.close();
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("not-run");
    });

    it("is not-run for a 503 with the header x-not-run", async () => {
      respond = (response) =>
        response.writeHead(503, { "x-not-run": "1" }).end();
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("not-run");
    });

    it("is absent for a 503 without x-not-run, a normal response", async () => {
      respond = (response) => response.writeHead(503).end("busy");
      const reply = await callPlain();
      expect(reply.isOk && reply.value.status).toBe(503);
    });

    it("is may-have-run if the connection closes with no response", async () => {
      respond = (response) => response.destroy();
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("may-have-run");
    });

    it("is ran for a response that exceeds the size limit", async () => {
      respond = (response) => response.end(Buffer.alloc(9 * 1024 * 1024));
      const reply = await callPlain();
      expect(reply.isErr && reply.error.verdict).toBe("ran");
    });

    it.each([
      [409, "not-run"],
      [503, "not-run"],
      [500, "may-have-run"],
      [504, "may-have-run"],
      [408, "may-have-run"],
    ])("is, for an engine status of %d, %s", async (status, verdict) => {
      respond = (response) => response.writeHead(status).end("{}");
      const reply = await generate();
      expect(reply.isErr && reply.error.verdict).toBe(verdict);
    });
  });
});
