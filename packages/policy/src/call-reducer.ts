/**
 * The reducer of the calls stream: which intent is the first for its key, and
 * how it ended. It reads no clock.
 *
 * @module
 */
import type { CallRecord, CallRecordOf } from "@zinniahill/schema";

/** What is remembered of a key. */
export interface RememberedCall {
  readonly intent: string;
  readonly node: string;
  readonly bodyHash: string;
  readonly outcome?: CallRecordOf<"outcome">;
}

/** Applies call records in the order of their offsets. */
export class CallReducer {
  #calls = new Map<string, RememberedCall>();
  /** Intents that ended before they were read, by their id. */
  #endedIntents = new Set<string>();
  #limit: number;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** The number of keys that are remembered. */
  get size(): number {
    return this.#calls.size;
  }

  /** Applies one record. */
  apply(record: CallRecord): void {
    const handler = this.#handlers[record.kind] as (
      record: CallRecord,
    ) => void;
    handler(record);
  }

  /** Returns what is remembered of a key. */
  find(key: string): RememberedCall | undefined {
    return this.#calls.get(key);
  }

  readonly #handlers: {
    readonly [Kind in CallRecord["kind"]]: (
      record: CallRecordOf<Kind>,
    ) => void;
  } = {
    "intent": (record) => this.#applyIntent(record),
    "outcome": (record) => this.#applyOutcome(record),
  };

  #applyIntent(record: CallRecordOf<"intent">): void {
    const isLate = this.#endedIntents.has(record.id);
    if (isLate || this.#calls.has(record.key)) {
      return;
    }
    const { id: intent, node, bodyHash, key } = record;
    this.#calls.set(key, { intent, node, bodyHash });
    this.#forgetOldest();
  }

  #applyOutcome(record: CallRecordOf<"outcome">): void {
    const call = this.#calls.get(record.key);
    if (call?.intent !== record.intent) {
      this.#rememberEnded(record.intent);
      return;
    }
    if (record.verdict === "not-run") {
      this.#calls.delete(record.key);
      this.#rememberEnded(record.intent);
      return;
    }
    if (call.outcome === undefined) {
      this.#calls.set(record.key, { ...call, outcome: record });
    }
  }

  #rememberEnded(intent: string): void {
    this.#endedIntents.add(intent);
    if (this.#endedIntents.size > this.#limit) {
      const [oldest] = this.#endedIntents;
      this.#endedIntents.delete(oldest!);
    }
  }

  #forgetOldest(): void {
    if (this.#calls.size > this.#limit) {
      const [oldest] = this.#calls.keys();
      this.#calls.delete(oldest!);
    }
  }
}
