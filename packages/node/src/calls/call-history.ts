/**
 * What this node has read of the calls stream, also where the log is restored
 * from a copy and gives offsets out again.
 *
 * @module
 */
import type { Logger } from "@zinniahill/kernel";
import { CallReducer, type RememberedCall } from "@zinniahill/policy";
import { CallRecord, type LogPage } from "@zinniahill/schema";

/** What the owner of a history does about what it reads. */
export interface CallHistoryOptions {
  readonly maxCalls: number;
  /** Called with the id of each record that is read. */
  readonly onRead: (id: string) => void;
  /** Called with each remembered call whose records the log has lost. */
  readonly onLost: (key: string, call: RememberedCall) => void;
}

/**
 * Applies pages of the calls stream. After a restore it reads the log from its
 * start into a new reducer, and then adds to it the calls that the log lost.
 */
export class CallHistory {
  #logger: Logger;
  #options: CallHistoryOptions;
  #reducer: CallReducer;
  /** The reducer of a restored log while it is read from the start. */
  #rebuilt: CallReducer | undefined;
  #readUpTo = 0;
  #era: number | undefined;
  #gapCount = 0;

  constructor(logger: Logger, options: CallHistoryOptions) {
    this.#logger = logger;
    this.#options = options;
    this.#reducer = new CallReducer(options.maxCalls);
  }

  /** The remembered calls; those from before a restore while it is read. */
  get reducer(): CallReducer {
    return this.#reducer;
  }

  /** Offset of the last entry that was read. */
  get readUpTo(): number {
    return this.#readUpTo;
  }

  /** How many times records expired unread or the log was restored. */
  get gapCount(): number {
    return this.#gapCount;
  }

  /** Whether a restored log is being read from its start. */
  get isRebuilding(): boolean {
    return this.#rebuilt !== undefined;
  }

  /**
   * Applies the page after `readUpTo`. Returns whether the log was restored
   * since the page before, or at any time before the first page.
   */
  apply(page: LogPage): boolean {
    const { era, first, next, entries } = page;
    const isRestored = era !== (this.#era ?? 0);
    const isShorter = next <= this.#readUpTo;
    if ((isRestored && this.#era !== undefined) || isShorter) {
      this.#startAgain(page);
      return true;
    }
    this.#era = era;
    if (first > this.#readUpTo + 1) {
      this.#gapCount++;
      this.#logger.warn("calls_expired_unread", {
        read_up_to: this.#readUpTo,
        first,
      });
      this.#readUpTo = first - 1;
    }
    for (const { offset, records } of entries) {
      this.#applyRecords(records);
      this.#readUpTo = offset;
    }
    if (next === this.#readUpTo + 1) {
      this.#endRebuilding();
    }
    return isRestored;
  }

  #applyRecords(records: readonly unknown[]): void {
    const reducer = this.#rebuilt ?? this.#reducer;
    for (const candidate of records) {
      const record = CallRecord.safeParse(candidate);
      if (record.success) {
        reducer.apply(record.data);
        this.#options.onRead(record.data.id);
      }
    }
  }

  /** Claims that are open end, as an earlier intent may have been lost. */
  #startAgain({ era, first, next }: LogPage): void {
    this.#logger.warn("log_restored", {
      stream: "calls",
      era,
      next,
      read_up_to: this.#readUpTo,
    });
    this.#gapCount++;
    this.#era = era;
    this.#readUpTo = first - 1;
    this.#rebuilt = new CallReducer(this.#options.maxCalls);
  }

  #endRebuilding(): void {
    if (this.#rebuilt === undefined) {
      return;
    }
    const lost = this.#rebuilt.adoptLost(this.#reducer);
    this.#reducer = this.#rebuilt;
    this.#rebuilt = undefined;
    for (const [key, call] of lost) {
      this.#options.onLost(key, call);
    }
  }
}

/** Creates the records of a call, with the id of its intent as it was. */
export function createCallRecords(
  key: string,
  { intent, node, bodyHash, outcome }: RememberedCall,
  outcomeId: string,
): CallRecord[] {
  const intentRecord: CallRecord = {
    kind: "intent",
    id: intent,
    node,
    key,
    bodyHash,
  };
  if (outcome === undefined) {
    return [intentRecord];
  }
  const { body, ...rest } = outcome;
  const header = { kind: "outcome" as const, id: outcomeId, node, key, intent };
  return [
    intentRecord,
    body === undefined
      ? { ...header, ...rest, body: "", isBodyOmitted: true }
      : { ...header, ...rest, body },
  ];
}
