import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { SystemClock } from "@zinniahill/kernel";
import { RawServer } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  EngineClient,
  HostListClient,
  LogClient,
  PlainServiceClient,
  WeightStoreClient,
} from "../src/index.ts";
import { GENERATE_REQUEST } from "./generate-request.ts";

const TIMEOUT_MS = 5000;
/** Time in which the client's kernel takes what it buffers of an upload. */
const UNREAD_MS = 10;
const PART = "p".repeat(1000);
const clock = new SystemClock();

let server: RawServer;
let address: string;
let answer: (socket: Socket) => void;

beforeEach(async () => {
  server = new RawServer((socket) => answer(socket), { unreadMs: UNREAD_MS });
  address = await server.listen();
});

afterEach(() => {
  server.close();
});

/** Sends bytes and resets the connection after them, at once or later. */
function sendAndReset(bytes: string, delayMs: number | undefined) {
  return (socket: Socket) => {
    socket.write(bytes, () => {
      if (delayMs === undefined) {
        socket.resetAndDestroy();
      } else {
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      }
    });
  };
}

// Guards against MIXED: undici takes a reset for the end of a body that has no
// length, so a part of an answer was returned as the whole one.
describe("answers whose connection is reset", () => {
  const heads: Readonly<Record<string, string>> = {
    "no length": "HTTP/1.1 200 OK\r\n\r\n",
    "connection: close": "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
    "transfer-encoding: gzip":
      "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
  };

  describe("of plain services", () => {
    const plain = new PlainServiceClient(clock);
    const forms = Object.entries(heads).flatMap(([name, head]) =>
      [2, 4_000_000].map((size) => [name, size, head] as const)
    );
    const call = (bodyBytes: number) =>
      plain.call(address, {
        method: "POST",
        path: "/writes",
        headers: {},
        body: Buffer.alloc(bodyBytes, "u"),
      }, TIMEOUT_MS);

    describe.each(forms)("%s, an upload of %d bytes", (_name, size, head) => {
      it.each([undefined, 0, 20])(
        "may have run if the reset follows after %s ms",
        async (delayMs) => {
          answer = sendAndReset(`${head}${PART}`, delayMs);
          const reply = await call(size);
          expect(reply.isErr && reply.error.verdict).toBe("may-have-run");
        },
      );

      it.each([0, 20, 300])(
        "are whole if they end and the upload is read after %d ms",
        async (delayMs) => {
          answer = (socket) => {
            socket.end(`${head}${PART}`);
            setTimeout(() => socket.resume(), delayMs);
          };
          const reply = await call(size);
          expect(reply.isOk && reply.value.body.toString()).toBe(PART);
        },
      );
    });
  });

  describe("of other services", () => {
    const options = { from: 0, max: 1, waitMs: 0 };
    const calls: Readonly<
      Record<string, () => Promise<{ readonly isErr: boolean }>>
    > = {
      "log": () =>
        new LogClient(clock, { address, timeoutMs: TIMEOUT_MS })
          .read("control", options),
      "host list": () => new HostListClient(clock, address).list(),
      "weight store": () =>
        new WeightStoreClient(clock, address)
          .requestGrant({ model: "m", version: "1", host: "h" }),
      "status of an engine": () =>
        new EngineClient(clock).probe(address, TIMEOUT_MS),
      "reply to a cancel": () => new EngineClient(clock).cancel(address, "r"),
    };

    // A number that is cut off is a number as well, unlike a cut-off object.
    it.each(Object.entries(calls))("are no value: %s", async (_name, call) => {
      answer = sendAndReset("HTTP/1.1 200 OK\r\n\r\n12", undefined);
      expect((await call()).isErr).toBe(true);
    });

    it("are no end of an engine's stream", async () => {
      answer = sendAndReset("HTTP/1.1 200 OK\r\n\r\ndata: part\n\n", undefined);
      const stream = await new EngineClient(clock).generate(
        address,
        GENERATE_REQUEST,
        { timeoutMs: TIMEOUT_MS, usesNewConnection: true },
      );
      const { chunks } = stream.unwrapOrElse(({ message }) => {
        throw new Error(message);
      });
      const drain = async () => {
        for await (const chunk of chunks) {
          void chunk;
        }
      };
      await expect(drain()).rejects.toThrow();
    });
  });
});
