/**
 * A stand-in of the fleet's store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { Seats } from "./seats.ts";
import { encodeBatch, KeyedPartition } from "./topic-log.ts";

interface Reply {
  readonly status: number;
  readonly body: Buffer | object;
}

type Handler = (query: URLSearchParams, body: Buffer) => Promise<Reply> | Reply;

/** How the store treats calls. */
export type StoreMode = "well" | "busy" | "silent";

/** The state of a store at one moment. */
export interface StoreCopy {
  readonly topics: ReadonlyMap<string, KeyedPartition>;
  readonly seats: ReadonlyMap<string, Seats>;
}

const PART_COUNT = 12;
const HOST = "127.0.0.1";
const ERA_HEADER = "store-era";

/** Serves topics and membership over HTTP. */
export class FleetStore {
  /** How calls are treated; a test sets it. */
  mode: StoreMode = "well";
  /** Reads of topics that were answered or wait, refused ones included. */
  readCount = 0;
  #topics = new Map<string, KeyedPartition>();
  #seats = new Map<string, Seats>();
  /** Rises with each restore from a copy. */
  #era = 1;
  #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      // A restore may end a connection in the middle of a request.
      this.#serve(request, response).catch(() => response.destroy());
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, HOST, resolve));
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes as the operator or a runner does; no value deletes the key. */
  put(topic: string, key: string, value: unknown): void {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(typeof value === "string" ? value : JSON.stringify(value));
    this.topic(topic).append(key, bytes);
  }

  /** Reads the newest value of a key; undefined if there is none. */
  readNewest(topic: string, key: string): unknown {
    const record = this.topic(topic).listNewest()
      .find((newest) => newest.key === key);
    return record === undefined || record.value.length === 0
      ? undefined
      : JSON.parse(record.value.toString());
  }

  /** Copies the whole state. */
  takeCopy(): StoreCopy {
    return cloneState({ topics: this.#topics, seats: this.#seats });
  }

  /** Comes back from a copy; all that was written since is lost. */
  restore(copy: StoreCopy): void {
    const { topics, seats } = cloneState(copy);
    this.#topics = new Map(topics);
    this.#seats = new Map(seats);
    this.#era++;
    this.#server.closeAllConnections();
  }

  topic(name: string): KeyedPartition {
    const topic = this.#topics.get(name) ?? new KeyedPartition();
    this.#topics.set(name, topic);
    return topic;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readAll(request);
    const { status, body: reply } = await this.#answer(request, body);
    if (status === 0) {
      return;
    }
    const isBytes = Buffer.isBuffer(reply);
    response.writeHead(status, {
      "content-type": isBytes ? "application/octet-stream" : "application/json",
      [ERA_HEADER]: this.#era,
    });
    response.end(isBytes ? reply : JSON.stringify(reply));
  }

  async #answer(request: IncomingMessage, body: Buffer): Promise<Reply> {
    if (this.mode === "silent") {
      return { status: 0, body: {} };
    }
    if (this.mode === "busy") {
      return { status: 503, body: {} };
    }
    const url = new URL(request.url ?? "/", "http://store");
    const handle = this.#handlers[`${request.method} ${url.pathname}`];
    return handle === undefined
      ? { status: 404, body: {} }
      : await handle(url.searchParams, body);
  }

  readonly #handlers: Readonly<Record<string, Handler>> = {
    "POST /zinniahill/log-append": (query, body) => {
      const topic = this.topic(query.get("Topic") ?? "");
      const offset = topic.appendEncoded(body);
      return { status: 200, body: { Offset: offset, End: topic.end } };
    },
    "GET /zinniahill/log-read": async (query) => {
      this.readCount++;
      const topic = this.topic(query.get("Topic") ?? "");
      const from = Number(query.get("From"));
      if (from < topic.first || from > topic.end) {
        return { status: 410, body: { First: topic.first } };
      }
      if (topic.end <= from) {
        const waitMs = Number(query.get("WaitMs") ?? 0);
        const limit = AbortSignal.timeout(waitMs);
        await topic.changed.wait(limit).catch(() => {});
      }
      return { status: 200, body: encodeBatch(topic, topic.listFrom(from)) };
    },
    "GET /zinniahill/log-newest": (query) => {
      this.readCount++;
      const topic = this.topic(query.get("Topic") ?? "");
      const Items = topic.listNewest().map(({ key, value, offset }) => ({
        Key: key,
        Value: value.toString("base64"),
        Offset: offset,
      }));
      return { status: 200, body: { Items, MorePages: false, End: topic.end } };
    },
    "POST /zinniahill/log-join": (_query, body) => {
      const { group, Member, Topics, TtlMs, Generation } = JSON.parse(
        body.toString(),
      );
      const seats = this.#seats.get(group) ?? new Seats(PART_COUNT);
      this.#seats.set(group, seats);
      const seat = seats.join(Member, Generation, TtlMs, performance.now());
      const parts = seat.parts.map((part) => [Topics[0], part, 0]);
      return { status: 200, body: { Generation: seat.generation, parts } };
    },
    "POST /zinniahill/log-leave": (_query, body) => {
      const { group, Member } = JSON.parse(body.toString());
      this.#seats.get(group)?.leave(Member);
      return { status: 200, body: {} };
    },
  };
}

function cloneState({ topics, seats }: StoreCopy): StoreCopy {
  const now = performance.now();
  return {
    topics: new Map(
      [...topics].map(([name, topic]) => [name, topic.clone()]),
    ),
    seats: new Map(
      [...seats].map(([group, members]) => [group, members.clone(now)]),
    ),
  };
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}
