import { Buffer } from "node:buffer";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { ManualClock } from "@zinniahill/kernel";
import { afterEach, describe, expect, it, vi } from "vitest";
import { EventForwarder } from "../../src/serving/event-forwarder.ts";

const EVENT_BYTES = 16 * 1024;
/** Above what the kernel buffers of a loopback connection take. */
const MAX_UNREAD_BYTES = 16 * 1024 * 1024;
const TOTAL_BYTES = 4 * MAX_UNREAD_BYTES;
const DEADLINE = new Error("the deadline has passed");

let server: Server | undefined;
let caller: Socket | undefined;

afterEach(() => {
  caller?.destroy();
  server?.close();
});

/** Connects a caller that reads nothing; the result is its response. */
async function connectCaller(): Promise<ServerResponse> {
  const accepted = new Promise<ServerResponse>((resolve) => {
    server = createServer((_request, response) => resolve(response));
  });
  await new Promise<void>((resolve) => server!.listen(0, "127.0.0.1", resolve));
  caller = connect((server!.address() as AddressInfo).port, "127.0.0.1");
  caller.on("error", () => {});
  caller.pause();
  caller.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  return accepted;
}

/** Starts to forward a long stream to a response. */
function forward(response: ServerResponse) {
  const seen = { bytes: 0, held: 0, isPaused: false };
  async function* createEvents(): AsyncGenerator<Buffer> {
    for (let id = 1; seen.bytes < TOTAL_BYTES; id++) {
      const data = "x".repeat(EVENT_BYTES);
      const event = Buffer.from(`id: ${id}\ndata: ${data}\n\n`);
      seen.bytes += event.length;
      yield event;
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  let end: (reason: Error) => void = () => {};
  const attempt = {
    upstreamResponse: {
      status: 200,
      rawHeaders: [],
      isFramed: true,
      body: createEvents(),
    },
    outstandingRequest: {
      recordEvent() {},
      pause: () => seen.isPaused = true,
      resume: () => seen.isPaused = false,
    },
    exchange: {
      ended: new Promise<Error>((resolve) => {
        end = resolve;
      }),
    },
  };
  const request = {
    metadata: {},
    response,
    memory: {
      add: (bytes: number) => seen.held += bytes,
      remove: (bytes: number) => seen.held -= bytes,
    },
  };
  const quarantine = { recordAnswer() {} };
  const events = new EventForwarder(
    new ManualClock(),
    quarantine as never,
    request as never,
  );
  const done = events.forward(attempt as never);
  return { seen, done, end };
}

describe("EventForwarder", () => {
  // Guards against processes that ended by their memory, as an answer grew
  // faster than its caller read it.
  describe("a caller that reads more slowly than the upstream sends", () => {
    it("stops the reading of the upstream, until it has read", async () => {
      const { seen, done } = forward(await connectCaller());
      await vi.waitFor(() => expect(seen.isPaused).toBe(true));
      const bytes = seen.bytes;
      await new Promise((resolve) => setTimeout(resolve, 100));
      expect(seen.bytes).toBe(bytes);
      expect(bytes).toBeLessThan(MAX_UNREAD_BYTES);
      expect(seen.held).toBeGreaterThan(0);
      caller!.resume();
      await done;
      expect(seen.bytes).toBeGreaterThanOrEqual(TOTAL_BYTES);
      expect(seen).toMatchObject({ held: 0, isPaused: false });
    });

    it("does not hold the attempt after its end", async () => {
      const { seen, done, end } = forward(await connectCaller());
      await vi.waitFor(() => expect(seen.isPaused).toBe(true));
      end(DEADLINE);
      await expect(done).rejects.toBe(DEADLINE);
      expect(seen.held).toBe(0);
    });
  });
});
