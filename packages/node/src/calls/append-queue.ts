/**
 * Appends call records to the log in batches.
 *
 * @module
 */
import { type Clock, Condition, type Logger } from "@zinniahill/kernel";
import type { Log } from "@zinniahill/clients";
import type { CallRecord, CallRecordOf } from "@zinniahill/schema";

interface QueuedRecord {
  readonly record: CallRecord;
  /** Whether an append that contains the record may have taken effect. */
  isSent: boolean;
}

const MAX_BATCH_RECORDS = 256;
const MAX_BATCH_BYTES = 1024 * 1024;
const RETRY_DELAY_MS = 200;

/**
 * Queue of records to append to the log. At most one append is in flight: the
 * log accepts several hundred appends a second from all nodes together, so
 * records that arrive meanwhile go into the next batch. A record stays queued
 * until its append succeeds or it is read from the log.
 */
export class AppendQueue {
  /** Notified when an append succeeds or fails. */
  readonly appendEnded = new Condition();
  #clock: Clock;
  #logger: Logger;
  #log: Log;
  #recordAdded = new Condition();
  #queued = new Map<string, QueuedRecord>();
  #consecutiveFailures = 0;
  #appendCount = 0;

  constructor(clock: Clock, logger: Logger, log: Log) {
    this.#clock = clock;
    this.#logger = logger;
    this.#log = log;
  }

  /** Number of records not known to be in the log. */
  get size(): number {
    return this.#queued.size;
  }

  /** Number of failed appends since the last successful one. */
  get consecutiveFailures(): number {
    return this.#consecutiveFailures;
  }

  /** Number of appends started. */
  get appendCount(): number {
    return this.#appendCount;
  }

  add(record: CallRecord): void {
    this.#queued.set(record.id, { record, isSent: false });
    this.#recordAdded.notify();
  }

  /** Removes a record; returns whether it may be in the log. */
  remove(id: string): boolean {
    const queued = this.#queued.get(id);
    this.#queued.delete(id);
    return queued?.isSent ?? true;
  }

  /** Removes a record that was read from the log. */
  markRead(id: string): void {
    this.#queued.delete(id);
  }

  /** Returns the queued outcome of an intent. */
  findOutcome(intent: string): CallRecordOf<"outcome"> | undefined {
    for (const { record } of this.#queued.values()) {
      if (record.kind === "outcome" && record.intent === intent) {
        return record;
      }
    }
    return undefined;
  }

  /** Appends queued records until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#recordAdded.until(() => this.#queued.size > 0, signal);
      await this.#appendBatch(signal);
      this.appendEnded.notify();
      if (this.#consecutiveFailures > 0) {
        await this.#clock.sleep(RETRY_DELAY_MS, signal);
      }
    }
  }

  async #appendBatch(signal: AbortSignal): Promise<void> {
    const batch = this.#takeBatch();
    const records = batch.map(({ record }) => record);
    this.#appendCount++;
    const appended = await this.#log.append("calls", records, signal);
    if (appended.isErr) {
      this.#consecutiveFailures++;
      this.#logger.warn("calls_not_appended", {
        records: records.length,
        error: appended.error.message,
      });
      return;
    }
    this.#consecutiveFailures = 0;
    for (const { id } of records) {
      this.#queued.delete(id);
    }
  }

  #takeBatch(): QueuedRecord[] {
    const batch: QueuedRecord[] = [];
    let bytes = 0;
    for (const queued of this.#queued.values()) {
      const { record } = queued;
      bytes += record.kind === "outcome" ? record.body.length : 0;
      const isFull = batch.length >= MAX_BATCH_RECORDS ||
        bytes > MAX_BATCH_BYTES;
      if (isFull && batch.length > 0) {
        break;
      }
      queued.isSent = true;
      batch.push(queued);
    }
    return batch;
  }
}
