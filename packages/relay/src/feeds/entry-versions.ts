/**
 * Versions of the entries that instances write.
 *
 * The store may carry out a write long after it was sent, so a later offset
 * does not make an entry newer: its process and its renewal count do.
 *
 * @module
 */
import type { RecordDecoder } from "../adapter.ts";

/** Position of an entry among all entries of its instance. */
export interface EntryVersion {
  readonly bornAt: number;
  /** Number of entries that the process has written before. */
  readonly renewalCount: number;
}

/** Reads the version of a value; undefined if the value has none. */
export interface VersionReader {
  read(key: string, value: string): EntryVersion | undefined;
}

/** The content of an entry, without its renewal count. */
interface EntryContent {
  readonly text: string;
  readonly bornAt: number;
}

/** Reads versions, and decodes an entry only if its content is new. */
export class EntryVersions implements VersionReader {
  #decoder: RecordDecoder;
  #contents = new Map<string, EntryContent>();

  constructor(decoder: RecordDecoder) {
    this.#decoder = decoder;
  }

  read(key: string, value: string): EntryVersion | undefined {
    const bornAt = this.#readStartTime(key, value);
    const renewalCount = this.#decoder.readRenewalCount(value);
    return bornAt === undefined || !Number.isSafeInteger(renewalCount)
      ? undefined
      : { bornAt, renewalCount };
  }

  #readStartTime(key: string, value: string): number | undefined {
    const text = this.#decoder.removeRenewalCount(value);
    const known = this.#contents.get(key);
    if (known?.text === text) {
      return known.bornAt;
    }
    return this.#decoder.instance(key, value).match({
      Ok: ({ bornAt }) => {
        this.#contents.set(key, { text, bornAt });
        return bornAt;
      },
      Err: () => undefined,
    });
  }
}

/** Positive if the first version is newer, 0 if they are equal. */
export function compareVersions(a: EntryVersion, b: EntryVersion): number {
  return a.bornAt - b.bornAt || a.renewalCount - b.renewalCount;
}
