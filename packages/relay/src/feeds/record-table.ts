/**
 * A compacted copy of one topic.
 *
 * @module
 */
import type { KeyRecord } from "../model/peer-message.ts";
import { eraOf } from "../model/store-position.ts";
import {
  compareVersions,
  type EntryVersion,
  NO_VERSIONS,
  type VersionReader,
} from "./entry-versions.ts";

/** The newest record of a key, and the newest version that the key had. */
interface Latest {
  readonly record: KeyRecord;
  /** The version of a deleted value; that of a value is read from it. */
  readonly version: EntryVersion | undefined;
}

/**
 * Holds the newest record of each key, including deletions. Records may arrive
 * from the store and from peers in any order; an older one never replaces a
 * newer one. Values are ordered by their versions, also if the store holds them
 * in another order; everything else is ordered by its position. Positions of a
 * store that was restored are later than all that it gave before.
 */
export class RecordTable {
  #latest = new Map<string, Latest>();
  #next = 0;
  /**
   * The end of the topic when this table met the latest era. Records before it
   * may be those of the copy, whatever was deleted since.
   */
  #eraStart = 0;
  #versions: VersionReader;

  constructor(versions: VersionReader = NO_VERSIONS) {
    this.#versions = versions;
  }

  /** The position below which every record has been applied. */
  get next(): number {
    return this.#next;
  }

  /** The records of keys that are not deleted. */
  list(): KeyRecord[] {
    return this.#listRecords().filter(({ value }) => value !== undefined);
  }

  /** The newest records from a position on, including deletions. */
  listFrom(position: number): KeyRecord[] {
    return this.#listRecords().filter(({ offset }) => offset >= position);
  }

  /**
   * Applies records that complete the table up to `next`; the result is those
   * that changed it.
   */
  apply(records: readonly KeyRecord[], next: number): KeyRecord[] {
    return this.#putAll(
      records.filter((record) => !this.#isDeletedMeanwhile(record)),
      next,
    );
  }

  /**
   * Applies a snapshot whose reading began when the topic ended at `next`. A
   * key that it does not contain was deleted, unless its record is newer.
   *
   * A provisional snapshot is that of a store which was restored just before,
   * and which lacks what was written in the last seconds. It adds keys and
   * newer versions, but tells nothing of what is known from an earlier era. A
   * peer that has read no more than this node deletes nothing by it either: what
   * it knows to have ended before the restore, the store may list again.
   */
  applySnapshot(
    records: readonly KeyRecord[],
    next: number,
    isProvisional = false,
  ): KeyRecord[] {
    const snapshotKeys = new Set(records.map(({ key }) => key));
    const isComplete = !isProvisional || next > this.#next;
    const deleted = !isComplete ? [] : this.list()
      .filter(({ key, offset }) =>
        !snapshotKeys.has(key) && offset < next &&
        !(isProvisional && eraOf(offset) < eraOf(next))
      )
      .map(({ key }) => ({ key, offset: next - 1, value: undefined }));
    const isOutdated = next < this.#next;
    const present = records.filter((record) => {
      const isLate = isOutdated || eraOf(record.offset) < eraOf(this.#next);
      return !(isLate && this.#isDeletedMeanwhile(record)) &&
        !(isProvisional && this.#isKnownBefore(record));
    });
    return this.#putAll([...present, ...deleted], next);
  }

  #putAll(records: readonly KeyRecord[], next: number): KeyRecord[] {
    if (eraOf(next) > eraOf(this.#next)) {
      this.#eraStart = next;
    }
    const changed = records.filter((record) => this.#put(record));
    this.#next = Math.max(this.#next, next);
    return changed;
  }

  /**
   * Whether a record that arrives late, for example with a read that began
   * before a snapshot was applied, belongs to a key that was deleted before
   * this table heard of it. Topics that may be in another order do not tell.
   */
  #isDeletedMeanwhile({ key, offset }: KeyRecord): boolean {
    return !this.#versions.mayReorder && offset < this.#next &&
      !this.#latest.has(key);
  }

  /**
   * Whether a record of a copy tells nothing of a key that is known from an
   * earlier era. Only a newer version does; a deleted key has to be written
   * again, as its last version may never have reached this node.
   */
  #isKnownBefore({ key, offset, value }: KeyRecord): boolean {
    const latest = this.#latest.get(key);
    if (latest === undefined || eraOf(latest.record.offset) >= eraOf(offset)) {
      return false;
    }
    const latestVersion = this.#readLatestVersion(latest);
    const version = value === undefined
      ? undefined
      : this.#versions.read(key, value);
    const isNewer = latest.record.value !== undefined &&
      version !== undefined && latestVersion !== undefined &&
      compareVersions(version, latestVersion) > 0;
    return !isNewer;
  }

  /**
   * The version of the newest record. It is read again each time: the
   * configuration may have changed, and with it which entries have a version.
   */
  #readLatestVersion(
    { record: { key, value }, version }: Latest,
  ): EntryVersion | undefined {
    return value === undefined ? version : this.#versions.read(key, value);
  }

  #listRecords(): KeyRecord[] {
    return [...this.#latest.values()].map(({ record }) => record);
  }

  /** Stores a record and returns whether it is news. */
  #put(record: KeyRecord): boolean {
    const { key, value } = record;
    const known = this.#latest.get(key);
    const latest = known === undefined
      ? undefined
      : { ...known, version: this.#readLatestVersion(known) };
    const version = value === undefined
      ? undefined
      : this.#versions.read(key, value);
    if (latest === undefined) {
      this.#latest.set(key, { record, version });
      return true;
    }
    const isLater = record.offset > latest.record.offset;
    if (version === undefined || latest.version === undefined) {
      return isLater && this.#putLater(latest, record, version);
    }
    const order = compareVersions(version, latest.version);
    const isDeleted = latest.record.value === undefined;
    const isOfLaterEra = eraOf(record.offset) > eraOf(latest.record.offset);
    // The copy from which a store was restored may still list a deleted key,
    // also with a version that never reached this node.
    const isOfCopy = isDeleted && isOfLaterEra &&
      (order === 0 || record.offset < this.#eraStart);
    // What was written before a deletion may still be read from a peer.
    const isNewer = !isOfCopy &&
      (order > 0 && (isLater || !isDeleted) || order === 0 && isLater);
    const newer = isNewer ? { record, version } : latest;
    const offset = Math.max(record.offset, latest.record.offset);
    // Peers that have not read up to this position get the newer record.
    this.#latest.set(key, {
      version: newer.version,
      record: isDeleted && !isNewer
        ? latest.record
        : { ...newer.record, offset },
    });
    return isNewer;
  }

  /** Stores a record of which only the position is known to be later. */
  #putLater(
    latest: Latest,
    record: KeyRecord,
    version: EntryVersion | undefined,
  ): boolean {
    const isUnreadable = record.value !== undefined && version === undefined;
    // An unreadable value is reported, but does not hide a readable one.
    if (!isUnreadable || latest.version === undefined) {
      this.#latest.set(record.key, {
        record,
        version: version ?? latest.version,
      });
    }
    return true;
  }
}
