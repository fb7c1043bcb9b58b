/**
 * An append-only log in memory, with offsets, limited retention and faults.
 *
 * @module
 */
import { type Clock, Condition } from "@zinniahill/kernel";
import type { LogEntry, LogPage } from "@zinniahill/schema";

/** Faults that a test can switch on. */
export interface LogFaults {
  /** Every call is refused before it takes effect. */
  isDown: boolean;
  /** Every call takes this much longer. */
  delayMs: number;
  /** This many replies to appends are lost after the append took effect. */
  repliesToLose: number;
}

/** One append that took effect, kept beyond retention for the proofs. */
export interface AppendedEntry extends LogEntry {
  readonly stream: string;
  readonly at: number;
}

/** How much the log keeps. */
export interface LogRetention {
  readonly entries: number;
}

/** Which entries a reader asks for. */
export interface LogQuery {
  readonly from: number;
  readonly max: number;
  readonly waitMs: number;
}

/** The entries of each stream at one time, from which a log is restored. */
export type LogCopy = ReadonlyMap<
  string,
  { readonly next: number; readonly entries: readonly LogEntry[] }
>;

/** What became of an append. */
export type AppendResult =
  | { readonly state: "appended"; readonly offset: number }
  | { readonly state: "reply-lost" }
  | { readonly state: "down" };

const DEFAULT_RETENTION: LogRetention = { entries: 100_000 };

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

  read(from: number, max: number): Omit<LogPage, "era"> {
    const start = Math.max(0, from - this.first);
    return {
      first: this.first,
      next: this.next,
      entries: this.entries.slice(start, start + max),
    };
  }
}

/** The log itself, apart from how it is reached. */
export class LogModel {
  readonly faults: LogFaults = { isDown: false, delayMs: 0, repliesToLose: 0 };
  /** Every append that took effect, whether or not it is still retained. */
  readonly history: AppendedEntry[] = [];
  retention: LogRetention;
  /** Called after an append took effect. */
  onAppend: (entry: AppendedEntry) => void = () => {};
  #clock: Clock;
  #era = 0;
  #streams = new Map<string, LogStream>();

  constructor(clock: Clock, retention: LogRetention = DEFAULT_RETENTION) {
    this.#clock = clock;
    this.retention = retention;
  }

  /** Appends directly, as another writer would. */
  append(stream: string, records: unknown[]): number {
    const offset = this.#stream(stream).append(records, this.retention);
    const entry = { stream, offset, records, at: this.#clock.now() };
    this.history.push(entry);
    this.onAppend(entry);
    return offset;
  }

  /** Appends under the faults that are switched on. */
  async handleAppend(
    stream: string,
    records: unknown[],
  ): Promise<AppendResult> {
    await this.#delay();
    if (this.faults.isDown) {
      return { state: "down" };
    }
    const offset = this.append(stream, records);
    if (this.faults.repliesToLose > 0) {
      this.faults.repliesToLose--;
      return { state: "reply-lost" };
    }
    return { state: "appended", offset };
  }

  /** Reads under the faults that are switched on; undefined when down. */
  async handleRead(
    name: string,
    { from, max, waitMs }: LogQuery,
  ): Promise<LogPage | undefined> {
    await this.#delay();
    const stream = this.#stream(name);
    if (!this.faults.isDown && stream.next <= from && waitMs > 0) {
      await this.#waitForAppend(stream, waitMs);
    }
    if (this.faults.isDown) {
      return undefined;
    }
    return { ...stream.read(from, max), era: this.#era };
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

  /** Copies what is retained of all streams. */
  copy(): LogCopy {
    return new Map(
      [...this.#streams].map((
        [name, { next, entries }],
      ) => [name, { next, entries: [...entries] }]),
    );
  }

  /**
   * Replaces all streams by a copy and begins an era. What was appended after
   * the copy is lost, and its offsets are given out again. Waiting reads end.
   */
  restore(copy: LogCopy): void {
    this.#era++;
    for (const [name, stream] of this.#streams) {
      const { next, entries } = copy.get(name) ?? { next: 1, entries: [] };
      stream.next = next;
      stream.entries = [...entries];
      stream.appended.notify();
    }
  }

  #stream(name: string): LogStream {
    let stream = this.#streams.get(name);
    if (stream === undefined) {
      stream = new LogStream();
      this.#streams.set(name, stream);
    }
    return stream;
  }

  async #delay(): Promise<void> {
    if (this.faults.delayMs > 0) {
      await this.#clock.sleep(this.faults.delayMs);
    }
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
