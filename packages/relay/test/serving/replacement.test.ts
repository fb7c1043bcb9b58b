import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  request as httpRequest,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout } from "node:timers/promises";
import { SystemClock } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { Attempts } from "../../src/serving/attempts.ts";
import type { RelayedRequest } from "../../src/serving/relayed-request.ts";
import { RequestHandlers } from "../../src/serving/request-handlers.ts";
import { watchDisconnect } from "../../src/serving/caller-disconnect.ts";

const MAX_ATTEMPTS = 4;
const TIMEOUT_MS = 3000;
const SETTLE_MS = 200;
const NOTIFY_INTERVAL_MS = 300;

const STREAM_HEADERS = { "content-type": "text/event-stream" };
const FIRST_EVENT = "id: 1\ndata: a\n\n";
const SECOND_EVENT = "id: 2\ndata: b\n\n";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** What the node counts at one instance. */
interface Counted {
  readonly instance: string;
  stall: () => void;
  isEnded: boolean;
}

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

async function listen(handler: Handler): Promise<string> {
  const server = createServer(handler);
  servers.push(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Calls the listener of a stalled instance repeatedly, as the node does. */
async function notifyUntilEnded(
  entry: Counted,
  listener: () => void,
): Promise<void> {
  while (!entry.isEnded) {
    listener();
    await setTimeout(NOTIFY_INTERVAL_MS);
  }
}

/** Attempts at upstreams, which are chosen in this order. */
function createHandlers(addresses: readonly string[]) {
  const counted: Counted[] = [];
  const clock = new SystemClock();
  const broken: string[] = [];
  const unreachable = new Set<string>();
  const log = () => {};
  const services: Record<string, unknown> = {
    clock,
    logger: { debug: log, info: log, warn: log, error: log },
    format: {
      identifyingHeaders: new Set<string>(),
      createForwardHeaders: () => [],
      parseResponse: () => ({
        hasNotRun: false,
        attemptId: undefined,
        isSigned: true,
        isEncoded: false,
        isLeaving: false,
      }),
    },
    dispatcher: {
      select: ({ excluded }: { excluded: ReadonlySet<string> }) => {
        const index = addresses.findIndex((_, i) =>
          !excluded.has(`i-${i}`) && !unreachable.has(`i-${i}`)
        );
        return index === -1
          ? Result.err(new Refusal("overloaded", "not-run", "none", 0))
          : Result.ok({
            instance: {
              id: `i-${index}`,
              bornAt: 1,
              address: addresses[index],
            },
            group: { name: `g-${index}`, epoch: 1 },
            load: 0,
          });
      },
      markUnreachable: ({ id }: { id: string }) => unreachable.add(id),
      markMisdirected() {},
    },
    outstanding: {
      begin: (instance: string) => {
        const entry: Counted = { instance, stall: () => {}, isEnded: false };
        counted.push(entry);
        return {
          recordEvent() {},
          pause() {},
          resume() {},
          onStall: (listener: () => void) => {
            entry.stall = () => void notifyUntilEnded(entry, listener);
          },
          end: () => entry.isEnded = true,
        };
      },
    },
    processExaminer: { examine: () => Promise.resolve(undefined) },
    quarantine: {
      check: () => undefined,
      isSuspect: () => false,
      recordAnswer() {},
      recordBroken: (_content: unknown, { id }: { id: string }) => {
        broken.push(id);
        return Promise.resolve();
      },
    },
    upstreamLimits: { take() {}, record() {} },
    coldUpstreams: { record() {} },
    instances: {},
    lifecycle: { expirySignal: new AbortController().signal },
    mesh: { countNodes: () => 1 },
    settings: { retries: { ratio: 1, allowance: 100, windowMs: 10_000 } },
  };
  const kernel = { find: (name: string) => services[name] };
  services.attempts = new Attempts(kernel as never);
  const handlers = new RequestHandlers(kernel as never);
  return { handlers, counted, clock, broken };
}

/** Relays one resumable stream of a caller; returns what the caller saw. */
async function relay(
  { handlers, clock }: ReturnType<typeof createHandlers>,
) {
  let isOk: boolean | undefined;
  const address = await listen((incoming, response) => {
    const memory = {
      isEvicted: false,
      add() {},
      remove() {},
      noteCopied() {},
      onEvict: () => () => {},
    };
    const request = {
      id: "a",
      incoming,
      response,
      metadata: {
        attemptId: "a",
        target: "/",
        outputTokens: 0,
        sharedParts: [],
      },
      body: Buffer.alloc(0),
      route: {
        kind: "stream",
        repetition: "resume",
        maxAttempts: MAX_ATTEMPTS,
        targetMs: 500,
        timeoutMs: TIMEOUT_MS,
      },
      service: { name: "s" },
      account: undefined,
      rank: 1,
      receivedAt: clock.now(),
      deadlineAt: clock.now() + TIMEOUT_MS,
      callerSignal: watchDisconnect(response),
      memory,
      sentTo: new Set(),
      mayHaveRun: false,
      lastEventId: undefined,
      canResume: true,
      replacement: undefined,
    } as unknown as RelayedRequest;
    void handlers.handle(request).then((outcome) => {
      isOk = outcome.isOk;
      if (outcome.isErr) {
        response.destroy();
      }
    });
  });
  const [host, port] = address.split(":");
  const received = new Promise<string>((resolve) => {
    httpRequest({ host, port, agent: false }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += String(chunk));
      response.on("close", () => resolve(text));
    }).on("error", () => resolve("")).end();
  });
  return { received, isOk: () => isOk };
}

/** Answers nothing until `reset`. */
async function listenSilently() {
  const connections: IncomingMessage["socket"][] = [];
  const address = await listen(({ socket }) => connections.push(socket));
  return {
    address,
    countRequests: () => connections.length,
    reset: () => connections.forEach((socket) => socket.resetAndDestroy()),
  };
}

/** Sends the first event, and the end when it is told so. */
async function listenPausing() {
  const responses: ServerResponse[] = [];
  const address = await listen((_request, response) => {
    responses.push(response);
    response.writeHead(200, STREAM_HEADERS).write(FIRST_EVENT);
  });
  const end = (last = "") => responses.forEach((one) => one.end(last));
  return { address, end };
}

async function listenComplete(events: string) {
  let requests = 0;
  const address = await listen((_request, response) => {
    requests++;
    response.writeHead(200, STREAM_HEADERS).end(events);
  });
  return { address, countRequests: () => requests };
}

describe("Attempts", () => {
  describe("a replacement that is open when its request ends", () => {
    // Guards against attempts that begin after the answer, and that the node
    // counts at their instance for ever.
    it("is not followed by another one", async () => {
      const pausing = await listenPausing();
      const silent = await listenSilently();
      const other = await listenComplete(SECOND_EVENT);
      const relayed = createHandlers([
        pausing.address,
        silent.address,
        other.address,
      ]);
      const { received, isOk } = await relay(relayed);
      await setTimeout(SETTLE_MS);
      relayed.counted[0]!.stall();
      await setTimeout(SETTLE_MS);
      pausing.end();
      expect(await received).toBe(FIRST_EVENT);
      await setTimeout(SETTLE_MS);
      expect(isOk()).toBe(true);
      expect(silent.countRequests()).toBe(1);
      expect(other.countRequests()).toBe(0);
      expect(relayed.counted.every(({ isEnded }) => isEnded)).toBe(true);
    });
  });

  describe("a replacement that begins with a part of an event", () => {
    // Guards against LOST: the silent upstream was given up for bytes that hold
    // no event, and then the replacement broke.
    it("does not end the silent attempt", async () => {
      const pausing = await listenPausing();
      const breaking = await listen((_request, response) => {
        response.writeHead(200, STREAM_HEADERS).write("id: 2\n");
        void setTimeout(SETTLE_MS).then(() => response.destroy());
      });
      const relayed = createHandlers([pausing.address, breaking]);
      const { received, isOk } = await relay(relayed);
      await setTimeout(SETTLE_MS);
      relayed.counted[0]!.stall();
      await setTimeout(2 * SETTLE_MS);
      pausing.end(SECOND_EVENT);
      expect(await received).toBe(FIRST_EVENT + SECOND_EVENT);
      expect(isOk()).toBe(true);
    });
  });

  describe("a replacement whose group has stalled, too", () => {
    // Guards against requests that wait for two broken groups until their
    // deadline, while another group has room.
    it("is replaced once the first attempt has ended", async () => {
      const first = await listenSilently();
      const second = await listenSilently();
      const other = await listenComplete(FIRST_EVENT);
      const relayed = createHandlers([
        first.address,
        second.address,
        other.address,
      ]);
      const { received, isOk } = await relay(relayed);
      await setTimeout(SETTLE_MS);
      relayed.counted[0]!.stall();
      await setTimeout(SETTLE_MS);
      relayed.counted[1]!.stall();
      await setTimeout(SETTLE_MS);
      first.reset();
      expect(await received).toBe(FIRST_EVENT);
      expect(isOk()).toBe(true);
    });
  });

  describe("a replacement that answers with a failure", () => {
    // Guards against an upstream's own failure that the node replaces by a 502
    // although no other upstream answers.
    it("is the answer if the silent attempt has ended", async () => {
      const silent = await listenSilently();
      const failing = await listen((_request, response) => {
        void setTimeout(SETTLE_MS).then(() =>
          response.writeHead(500).end("failed")
        );
      });
      const relayed = createHandlers([silent.address, failing]);
      const { received, isOk } = await relay(relayed);
      await setTimeout(SETTLE_MS);
      relayed.counted[0]!.stall();
      await setTimeout(SETTLE_MS / 2);
      silent.reset();
      expect(await received).toBe("failed");
      expect(isOk()).toBe(true);
    });
  });

  describe("a replacement whose upstream breaks after the head", () => {
    // Guards against prompts that crash one upstream after the other, as the
    // quarantine is not told of the crash.
    it("is recorded as broken", async () => {
      const pausing = await listenPausing();
      const breaking = await listen(({ socket }, response) => {
        response.writeHead(200, STREAM_HEADERS).flushHeaders();
        void setTimeout(SETTLE_MS / 4).then(() => socket.resetAndDestroy());
      });
      const relayed = createHandlers([pausing.address, breaking]);
      const { received } = await relay(relayed);
      await setTimeout(SETTLE_MS);
      relayed.counted[0]!.stall();
      await setTimeout(SETTLE_MS);
      pausing.end(SECOND_EVENT);
      await received;
      expect(relayed.broken).toEqual(["i-1"]);
    });
  });

  describe("a replacement after three instances that accept no connection", () => {
    // Guards against a refusal as "not run" while a replacement is answering: a
    // silent attempt counts as a fourth connection that failed.
    it("answers the request", async () => {
      const dead = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
      const silent = await listenSilently();
      const other = await listenComplete(FIRST_EVENT);
      const relayed = createHandlers([
        ...dead,
        silent.address,
        other.address,
      ]);
      const { received, isOk } = await relay(relayed);
      await expect.poll(silent.countRequests, { timeout: TIMEOUT_MS })
        .toBe(1);
      relayed.counted.at(-1)!.stall();
      expect(await received).toBe(FIRST_EVENT);
      expect(isOk()).toBe(true);
    });
  });
});
