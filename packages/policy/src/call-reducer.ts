/**
 * Reducer of the calls stream: which intent is the first for its key, and what
 * its outcome was. It reads no clock.
 *
 * @module
 */
import type { CallRecord, CallRecordOf, Verdict } from "@zinniahill/schema";

/** Outcome of a remembered call. */
export interface RememberedOutcome {
  readonly verdict: Verdict;
  readonly status: number;
  readonly contentType: string;
  /** The reply in base64; undefined once it is no longer kept. */
  readonly body: string | undefined;
}

/** The first intent for a key, and its outcome once it is known. */
export interface RememberedCall {
  readonly intent: string;
  readonly node: string;
  /** Empty if only the outcome was read, so the request is not known. */
  readonly bodyHash: string;
  readonly outcome?: RememberedOutcome;
}

/**
 * Limit of the total size of the kept replies. The replies of 20,000 calls
 * would exceed the 32 MB that a node may use for control data, so the oldest
 * are dropped first.
 */
const MAX_KEPT_BODY_BYTES = 8 * 1024 * 1024;

/** Limit of the interned texts, as upstreams may send any content type. */
const MAX_INTERNED_TEXTS = 1000;

/** State of a key; flat and with interned texts, as there are 20,000 keys. */
interface CallEntry {
  readonly intent: string;
  readonly node: string;
  bodyHash: string;
  verdict: Verdict | undefined;
  status: number;
  contentType: string;
  body: string | undefined;
}

/** Applies call records in the order of their offsets. */
export class CallReducer {
  #calls = new Map<string, CallEntry>();
  /** Keys with a kept reply that is not empty, oldest first. */
  #keysWithBody = new Set<string>();
  #bodyBytes = 0;
  /** Intents that can no longer become the first for their key. */
  #endedIntents = new Set<string>();
  /** Names of nodes and content types; few of them differ. */
  #internedTexts = new Map<string, string>();
  #maxCalls: number;
  #maxBodyBytes: number;

  constructor(maxCalls: number, maxBodyBytes: number = MAX_KEPT_BODY_BYTES) {
    this.#maxCalls = maxCalls;
    this.#maxBodyBytes = maxBodyBytes;
  }

  /** The number of remembered keys. */
  get size(): number {
    return this.#calls.size;
  }

  /** The size of all kept replies. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Applies one record. */
  apply(record: CallRecord): void {
    const handler = this.#handlers[record.kind] as (
      record: CallRecord,
    ) => void;
    handler(record);
  }

  /** Returns the call that is remembered for a key. */
  find(key: string): RememberedCall | undefined {
    const entry = this.#calls.get(key);
    if (entry === undefined) {
      return undefined;
    }
    const { intent, node, bodyHash, verdict, status, contentType, body } =
      entry;
    return verdict === undefined ? { intent, node, bodyHash } : {
      intent,
      node,
      bodyHash,
      outcome: { verdict, status, contentType, body },
    };
  }

  /** Whether an intent is not the first for its key, and never will be. */
  hasEnded(intent: string): boolean {
    return this.#endedIntents.has(intent);
  }

  /**
   * Takes over what an earlier reducer remembers and the records applied here do
   * not show, because the log lost them. Returns these calls by key. They hold
   * their keys against other intents, as they may have run. An intent that has
   * ended here is left out unless the earlier reducer knows that it may have run.
   */
  adoptLost(earlier: CallReducer): Map<string, RememberedCall> {
    const lost = new Map<string, RememberedCall>();
    for (const [key, entry] of earlier.#calls) {
      const current = this.#calls.get(key);
      const isSame = current?.intent === entry.intent;
      const isKnown = isSame && current.bodyHash !== "" &&
        (current.verdict !== undefined || entry.verdict === undefined);
      const hasEnded = entry.verdict === undefined &&
        this.#endedIntents.has(entry.intent);
      if (isKnown || hasEnded) {
        continue;
      }
      if (isSame && current.verdict !== undefined) {
        current.bodyHash = entry.bodyHash;
      } else {
        this.#replaceCall(key, entry);
      }
      lost.set(key, this.find(key)!);
    }
    return lost;
  }

  #replaceCall(key: string, entry: CallEntry): void {
    const current = this.#calls.get(key);
    if (current !== undefined) {
      this.#dropBody(key, current);
      this.#calls.delete(key);
    }
    if (current !== undefined && current.intent !== entry.intent) {
      this.#rememberEnded(current.intent);
    }
    const adopted = { ...entry, body: undefined };
    this.#calls.set(key, adopted);
    if (entry.body !== undefined) {
      this.#keepBody(key, adopted, entry.body);
    }
    this.#forgetOldest();
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
    const { id: intent, node, bodyHash, key } = record;
    if (this.#endedIntents.has(intent)) {
      return;
    }
    const current = this.#calls.get(key);
    if (current === undefined) {
      this.#addCall(key, { intent, node, bodyHash });
    } else if (current.intent === intent) {
      current.bodyHash = bodyHash;
    } else {
      // This intent may be appended again after a lost reply. The second copy
      // must not take the key once the first intent has released it.
      this.#rememberEnded(intent);
    }
  }

  #applyOutcome(record: CallRecordOf<"outcome">): void {
    let entry = this.#calls.get(record.key);
    if (entry === undefined && record.verdict !== "not-run") {
      // The log lost the intent in a restore, or it expired.
      const { intent, node } = record;
      entry = this.#addCall(record.key, { intent, node, bodyHash: "" });
    }
    if (entry?.intent !== record.intent) {
      this.#rememberEnded(record.intent);
      return;
    }
    if (entry.verdict !== undefined) {
      return;
    }
    if (record.verdict === "not-run") {
      this.#calls.delete(record.key);
      this.#rememberEnded(record.intent);
      return;
    }
    entry.verdict = record.verdict;
    entry.status = record.status;
    entry.contentType = this.#intern(record.contentType);
    if (record.isBodyOmitted !== true) {
      this.#keepBody(record.key, entry, record.body);
    }
  }

  #addCall(
    key: string,
    call: { intent: string; node: string; bodyHash: string },
  ): CallEntry {
    const entry = {
      ...call,
      node: this.#intern(call.node),
      verdict: undefined,
      status: 0,
      contentType: "",
      body: undefined,
    };
    this.#calls.set(key, entry);
    this.#forgetOldest();
    return entry;
  }

  #keepBody(key: string, entry: CallEntry, body: string): void {
    entry.body = body;
    if (body === "") {
      return;
    }
    this.#keysWithBody.add(key);
    this.#bodyBytes += body.length;
    for (const oldest of this.#keysWithBody) {
      if (this.#bodyBytes <= this.#maxBodyBytes) {
        return;
      }
      this.#dropBody(oldest, this.#calls.get(oldest));
    }
  }

  #dropBody(key: string, entry: CallEntry | undefined): void {
    if (this.#keysWithBody.delete(key) && entry !== undefined) {
      this.#bodyBytes -= entry.body?.length ?? 0;
      entry.body = undefined;
    }
  }

  /** Returns the same string object for equal texts, to save memory. */
  #intern(text: string): string {
    const interned = this.#internedTexts.get(text);
    if (interned !== undefined) {
      return interned;
    }
    if (this.#internedTexts.size < MAX_INTERNED_TEXTS) {
      this.#internedTexts.set(text, text);
    }
    return text;
  }

  #rememberEnded(intent: string): void {
    this.#endedIntents.add(intent);
    if (this.#endedIntents.size > this.#maxCalls) {
      const [oldest] = this.#endedIntents;
      this.#endedIntents.delete(oldest!);
    }
  }

  #forgetOldest(): void {
    if (this.#calls.size > this.#maxCalls) {
      const oldest = this.#calls.keys().next().value!;
      const entry = this.#calls.get(oldest);
      this.#calls.delete(oldest);
      this.#dropBody(oldest, entry);
    }
  }
}
