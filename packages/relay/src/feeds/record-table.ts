/**
 * A compacted copy of one topic.
 *
 * @module
 */
import type { KeyRecord } from "../model/peer-message.ts";

/**
 * Holds the newest record of each key, including deletions. Records may arrive
 * from the store and from peers in any order; an older offset never replaces a
 * newer one.
 */
export class RecordTable {
  #records = new Map<string, KeyRecord>();
  #next = 0;

  /** The offset below which every record has been applied. */
  get next(): number {
    return this.#next;
  }

  /** The records of keys that are not deleted. */
  list(): KeyRecord[] {
    return [...this.#records.values()]
      .filter(({ value }) => value !== undefined);
  }

  /** The newest records from an offset on, including deletions. */
  listFrom(offset: number): KeyRecord[] {
    return [...this.#records.values()]
      .filter((record) => record.offset >= offset);
  }

  /**
   * Applies records that complete the table up to `next`; the result is those
   * that changed it.
   */
  apply(records: readonly KeyRecord[], next: number): KeyRecord[] {
    const changed = records.filter((record) => this.#put(record));
    this.#next = Math.max(this.#next, next);
    return changed;
  }

  /**
   * Applies a snapshot whose reading began when the topic ended at `next`. A
   * key that it does not contain was deleted, unless its record is newer.
   */
  applySnapshot(records: readonly KeyRecord[], next: number): KeyRecord[] {
    const snapshotKeys = new Set(records.map(({ key }) => key));
    const deleted = this.list()
      .filter(({ key, offset }) => !snapshotKeys.has(key) && offset < next)
      .map(({ key }) => ({ key, offset: next - 1, value: undefined }));
    return this.apply([...records, ...deleted], next);
  }

  #put(record: KeyRecord): boolean {
    const current = this.#records.get(record.key);
    if (current !== undefined && current.offset >= record.offset) {
      return false;
    }
    this.#records.set(record.key, record);
    return true;
  }
}
