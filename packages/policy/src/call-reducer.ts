/**
 * The reducer of the calls stream: which intent is the first for its key, and
 * how it ended. It reads no clock.
 *
 * @module
 */
import type { CallRecord, CallRecordOf, Verdict } from "@zinniahill/schema";

/** How a remembered call ended. */
export interface RememberedOutcome {
  readonly verdict: Verdict;
  readonly status: number;
  readonly contentType: string;
  /** The reply in base64; undefined when it is not kept any more. */
  readonly body: string | undefined;
}

/** What is remembered of a key. */
export interface RememberedCall {
  readonly intent: string;
  readonly node: string;
  readonly bodyHash: string;
  readonly outcome?: RememberedOutcome;
}

/**
 * Total size of kept replies. Bodies of 20,000 calls would exceed the 32 MB
 * that a node may use for control, so the oldest ones are dropped first.
 */
const KEPT_BODY_BYTES = 8 * 1024 * 1024;

/** Bounds the shared texts, as upstreams choose their content types. */
const MAX_SHARED_TEXTS = 1000;

/**
 * What is kept of a key: flat, and with shared texts, as there are 20,000.
 */
interface Entry {
  readonly intent: string;
  readonly node: string;
  readonly bodyHash: string;
  verdict: Verdict | undefined;
  status: number;
  contentType: string;
  body: string | undefined;
}

/** Applies call records in the order of their offsets. */
export class CallReducer {
  #calls = new Map<string, Entry>();
  /** Keys whose reply takes space, oldest first. */
  #keysWithBody = new Set<string>();
  #bodyBytes = 0;
  /** Intents that cannot become the first for their key any more. */
  #endedIntents = new Set<string>();
  /** Names of nodes and content types, of which there are few. */
  #sharedTexts = new Map<string, string>();
  #limit: number;
  #bodyLimitBytes: number;

  constructor(limit: number, bodyLimitBytes: number = KEPT_BODY_BYTES) {
    this.#limit = limit;
    this.#bodyLimitBytes = bodyLimitBytes;
  }

  /** The number of keys that are remembered. */
  get size(): number {
    return this.#calls.size;
  }

  /** The size of the replies that are kept. */
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

  /** Returns what is remembered of a key. */
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

  /** Whether an intent was read that is not, and never will be, the first. */
  hasEnded(intent: string): boolean {
    return this.#endedIntents.has(intent);
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
    const holder = this.#calls.get(key);
    if (holder === undefined) {
      this.#calls.set(key, {
        intent,
        node: this.#share(node),
        bodyHash,
        verdict: undefined,
        status: 0,
        contentType: "",
        body: undefined,
      });
      this.#forgetOldest();
    } else if (holder.intent !== intent) {
      // A second copy of this intent, appended again after a lost reply, must
      // not take the key after its holder has freed it.
      this.#rememberEnded(intent);
    }
  }

  #applyOutcome(record: CallRecordOf<"outcome">): void {
    const entry = this.#calls.get(record.key);
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
    entry.contentType = this.#share(record.contentType);
    if (record.isBodyOmitted !== true) {
      this.#keepBody(record.key, entry, record.body);
    }
  }

  #keepBody(key: string, entry: Entry, body: string): void {
    entry.body = body;
    if (body === "") {
      return;
    }
    this.#keysWithBody.add(key);
    this.#bodyBytes += body.length;
    for (const oldest of this.#keysWithBody) {
      if (this.#bodyBytes <= this.#bodyLimitBytes) {
        return;
      }
      this.#dropBody(oldest, this.#calls.get(oldest));
    }
  }

  #dropBody(key: string, entry: Entry | undefined): void {
    if (this.#keysWithBody.delete(key) && entry !== undefined) {
      this.#bodyBytes -= entry.body?.length ?? 0;
      entry.body = undefined;
    }
  }

  /** Returns one string for all equal ones. */
  #share(text: string): string {
    const shared = this.#sharedTexts.get(text);
    if (shared !== undefined) {
      return shared;
    }
    if (this.#sharedTexts.size < MAX_SHARED_TEXTS) {
      this.#sharedTexts.set(text, text);
    }
    return text;
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
      const oldest = this.#calls.keys().next().value!;
      const entry = this.#calls.get(oldest);
      this.#calls.delete(oldest);
      this.#dropBody(oldest, entry);
    }
  }
}
