/**
 * Stand-in of the platform's log service.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { Condition } from "@zinniahill/kernel";
import type { LogEntry, LogPage } from "@zinniahill/schema";
import { z } from "zod";
import { type Answer, readJson, StandInServer } from "./server.ts";

/** Faults that a test can switch on. */
export interface LogFaults {
  /** Every call is refused with status 503 before it takes effect. */
  isDown: boolean;
  /** Every call takes this much longer. */
  delayMs: number;
  /** This many replies to appends are lost after the append took effect. */
  repliesToLose: number;
}

/** How much the log keeps. */
export interface LogRetention {
  readonly entries: number;
}

const DEFAULT_RETENTION: LogRetention = { entries: 100_000 };
const FaultsBody = z.object({
  isDown: z.boolean(),
  delayMs: z.number(),
  repliesToLose: z.number(),
}).partial();

class LogStream {
  entries: LogEntry[] = [];
  next = 1;
  readonly appended = new Condition();

  get first(): number {
    return this.entries[0]?.offset ?? this.next;
  }

  append(records: unknown[], retention: LogRetention): number {
    const offset = this.next++;
    this.entries.push({ offset, records });
    while (this.entries.length > retention.entries) {
      this.entries.shift();
    }
    this.appended.notify();
    return offset;
  }

  read(from: number, max: number): LogPage {
    const start = Math.max(0, from - this.first);
    return {
      first: this.first,
      next: this.next,
      entries: this.entries.slice(start, start + max),
    };
  }
}

/** An append-only log in memory, with offsets and limited retention. */
export class LogStandIn {
  readonly faults: LogFaults = {
    isDown: false,
    delayMs: 0,
    repliesToLose: 0,
  };
  retention: LogRetention;
  #clock: Clock;
  #server = new StandInServer();
  #streams = new Map<string, LogStream>();

  constructor(clock: Clock, retention: LogRetention = DEFAULT_RETENTION) {
    this.#clock = clock;
    this.retention = retention;
    this.#server.on(
      "POST",
      "/streams/:stream/entries",
      async (request, response) => {
        const records = z.array(z.unknown()).parse(await readJson(request));
        const refusal = await this.#applyFaults();
        if (refusal) {
          return refusal;
        }
        const offset = this.append(String(request.params.stream), records);
        if (this.faults.repliesToLose > 0) {
          this.faults.repliesToLose--;
          response.destroy();
          return undefined;
        }
        return { status: 200, body: { offset } };
      },
    );
    this.#server.on("GET", "/streams/:stream/entries", async (request) => {
      const refusal = await this.#applyFaults();
      if (refusal) {
        return refusal;
      }
      const page = await this.#read(
        String(request.params.stream),
        request.query,
      );
      return this.faults.isDown ? DOWN : { status: 200, body: page };
    });
    this.#server.on("POST", "/faults", async (request) => {
      Object.assign(this.faults, FaultsBody.parse(await readJson(request)));
      return { status: 200, body: this.faults };
    });
  }

  /** Appends directly, as another writer would. */
  append(stream: string, records: unknown[]): number {
    return this.#stream(stream).append(records, this.retention);
  }

  /** Returns what is retained of a stream. */
  entries(stream: string): readonly LogEntry[] {
    return this.#stream(stream).entries;
  }

  /** Drops all entries below an offset, as expiry does. */
  expire(stream: string, below: number): void {
    const target = this.#stream(stream);
    target.entries = target.entries.filter(({ offset }) => offset >= below);
  }

  /** Listens on a loopback address. */
  listen(port?: number): Promise<string> {
    return this.#server.listen(port);
  }

  /** Stops listening. */
  close(): Promise<void> {
    return this.#server.close();
  }

  #stream(name: string): LogStream {
    let stream = this.#streams.get(name);
    if (stream === undefined) {
      stream = new LogStream();
      this.#streams.set(name, stream);
    }
    return stream;
  }

  async #applyFaults(): Promise<Answer | undefined> {
    if (this.faults.delayMs > 0) {
      await this.#clock.sleep(this.faults.delayMs);
    }
    return this.faults.isDown ? DOWN : undefined;
  }

  async #read(
    name: string,
    query: Record<string, unknown>,
  ): Promise<LogPage> {
    const from = Number(query.from ?? 1);
    const max = Number(query.max ?? 1);
    const waitMs = Number(query.wait_ms ?? 0);
    const stream = this.#stream(name);
    if (stream.next <= from && waitMs > 0) {
      await this.#waitForAppend(stream, waitMs);
    }
    return stream.read(from, max);
  }

  async #waitForAppend(stream: LogStream, waitMs: number): Promise<void> {
    const waiting = new AbortController();
    const cancel = this.#clock.schedule(waitMs, () => waiting.abort());
    try {
      await stream.appended.wait(waiting.signal);
    } catch {
      // No append came in time; the page is then empty.
    } finally {
      cancel();
    }
  }
}

const DOWN: Answer = { status: 503, body: { error: "unavailable" } };
