/**
 * A node with groups that serve, on the platform in memory.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { ManualClock, SeededRandom } from "@zinniahill/kernel";
import { createCoreNode, type NodeKernel } from "@zinniahill/node";
import type { Engines, EngineStream } from "@zinniahill/clients";
import { createSettings } from "../settings.ts";
import {
  createToken,
  hashMessages,
  MemoryPlatform,
  MemoryTransports,
} from "@zinniahill/stand-ins";
import type { Refusal } from "@zinniahill/schema";
import { Place } from "../../src/serving/place.ts";
import type { StreamRequest } from "../../src/serving/stream-run.ts";
import { TestPermit } from "./test-permit.ts";

const HOSTS = 6;
const STEP_MS = 10;
const MODEL = "chat";
const MESSAGES = [{ role: "user", content: "hello" }];
const RULES = [
  `model ${MODEL} version=1 hosts=2 replicas=2 # tests`,
  "service records upstreams=10.9.0.1:9001 # tests",
  "",
].join("\n");

const SILENT_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

/** What a caller of a stream has received. */
export interface Received {
  text: string;
  tokens: number;
  writes: number;
  outcome?: "complete" | Refusal;
  readonly stop: AbortController;
}

/** Changes the events of one stream, as a faulty engine would. */
export type Tamper = (
  events: AsyncIterable<Uint8Array>,
  attempt: number,
) => AsyncIterable<Uint8Array>;

/** One node, six hosts in two fabric domains and two groups. */
export class StreamWorld {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  tamper: Tamper | undefined;
  /** Requests that the node sent to engines, in order. */
  readonly asked: { address: string; offset: number; prefix?: string }[] = [];
  /** Priorities of these requests. */
  readonly priorities: number[] = [];
  /** Further lines of the rules file. */
  rules = "";
  /** The permit of the next stream that begins. */
  permit = new TestPermit();
  readonly cancelled: string[] = [];
  /** How long a cancel is on its way. */
  cancelDelayMs = 0;
  node!: NodeKernel;

  async start(): Promise<void> {
    for (let index = 0; index < HOSTS; index++) {
      this.platform.addHost({
        host: `h${index}`,
        address: createAddress(index),
        dataCentre: "dc-1",
        fabricDomain: `fabric-${index % 2}`,
        accelerators: 8,
        state: "live",
      }, { batchSize: 4, stepMs: STEP_MS, checksFence: true, loadMs: 100 });
    }
    this.platform.log.append("control", [{
      kind: "configuration",
      id: "rules",
      node: "operator",
      basis: 0,
      text: RULES + this.rules,
      author: "tests",
    }]);
    const clients = this.platform.createClients("n1");
    const transports = new MemoryTransports(this.platform.network);
    this.node = createCoreNode(createSettings("n1"), {
      ...clients,
      engines: this.#wrapEngines(clients.engines),
      clock: this.clock,
      random: new SeededRandom(7),
      logger: SILENT_LOGGER,
      peerTransport: transports.create("127.0.0.1:3"),
    });
    await this.node.start();
    for (let second = 0; second < 60 && this.servable < 2; second++) {
      await this.clock.advance(1000);
    }
  }

  /** Groups that the node would send work to. */
  get servable(): number {
    return this.node.find("evidence").listServable(MODEL).length;
  }

  /** Begins a stream; what comes is collected. */
  begin(change: Partial<StreamRequest> = {}): Received {
    const received: Received = {
      text: "",
      tokens: 0,
      writes: 0,
      stop: new AbortController(),
    };
    this.node.find("streams").run({
      request: "req1",
      model: MODEL,
      messages: MESSAGES,
      maxTokens: 50,
      rank: "normal",
      place: new Place(this.permit),
      deadline: this.clock.now() + 300_000,
      sink: {
        write: (events, tokens) => {
          received.text += readText(events);
          received.tokens += tokens;
          received.writes++;
        },
      },
      ...change,
    }, received.stop.signal).then((end) => {
      received.outcome = end.isOk ? "complete" : end.error;
    });
    return received;
  }

  /** Address of the engine that runs the request now. */
  findRunning(): string {
    for (const [address, { batch }] of this.platform.engines) {
      if (batch.running + batch.waiting > 0) {
        return address;
      }
    }
    return "";
  }

  async stop(): Promise<void> {
    const stopped = Promise.all([this.node.stop(), this.platform.stop()]);
    await this.clock.advance(20_000);
    await stopped;
  }

  #wrapEngines(engines: Engines): Engines {
    return {
      ...engines,
      generate: async (address, body, options) => {
        const { offset, prefix } = body;
        this.priorities.push(body.priority);
        this.asked.push({
          address,
          offset,
          ...(prefix === undefined ? {} : { prefix }),
        });
        const attempt = this.asked.length;
        const reply = await engines.generate(address, body, options);
        const { tamper } = this;
        return tamper === undefined
          ? reply
          : reply.map((stream): EngineStream => ({
            requestId: stream.requestId,
            chunks: tamper(stream.chunks, attempt),
            close: () => stream.close(),
          }));
      },
      cancel: async (address, request) => {
        await this.clock.sleep(this.cancelDelayMs);
        this.cancelled.push(request);
        return engines.cancel(address, request);
      },
    };
  }
}

/** The text that an undisturbed answer has. */
export function createWholeText(tokens: number): string {
  const seed = hashMessages({ messages: MESSAGES });
  return Array.from({ length: tokens }, (_, index) => createToken(seed, index))
    .join("");
}

function readText(events: Uint8Array): string {
  return Buffer.from(events).toString().split("\n")
    .filter((line) => line.startsWith("data: "))
    .map((line) => JSON.parse(line.slice(6)).choices[0].delta.content)
    .join("");
}

function createAddress(index: number): string {
  return `10.0.0.${index + 1}:8000`;
}
