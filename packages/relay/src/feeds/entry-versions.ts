/**
 * Versions of stored values that say themselves which of them is newer.
 *
 * The store may carry out a write long after it was sent, and one that was
 * restored from a copy holds older values at later positions. So the position
 * does not make such a value newer: what its writer has counted does.
 *
 * @module
 */
import type { RecordDecoder } from "../adapter.ts";
import { fitsService, type FittedEntry } from "../hosts/service-fit.ts";
import type { ServiceProfile } from "../model/configuration.ts";

/** Numbers of which the first different one decides. */
export type EntryVersion = readonly number[];

/** Reads the versions of the values of a topic. */
export interface VersionReader {
  /**
   * Whether the topic may hold the values of a key in another order than that
   * in which they were written.
   */
  readonly mayReorder: boolean;
  /**
   * Reads the version of a value; undefined if the value has none. What it
   * returns for one value may change with the configuration.
   */
  read(key: string, value: string): EntryVersion | undefined;
}

/** Reads the versions of topics whose values have none. */
export const NO_VERSIONS: VersionReader = {
  mayReorder: false,
  read: () => undefined,
};

/** The content of an entry, without its renewal count. */
interface EntryContent extends FittedEntry {
  readonly text: string;
  readonly bornAt: number;
}

/**
 * Reads the versions of instances: the start of the process, and the number of
 * entries that it has written before. Entries that name no upstream have none,
 * so they hide no other entry. Decodes an entry only if its content is new.
 */
export class InstanceVersions implements VersionReader {
  readonly mayReorder = true;
  #decoder: RecordDecoder;
  #contents = new Map<string, EntryContent>();
  #services: readonly ServiceProfile[] | undefined;

  constructor(decoder: RecordDecoder) {
    this.#decoder = decoder;
  }

  /** Sets the services of the configuration in force. */
  useServices(services: readonly ServiceProfile[]): void {
    this.#services = services;
  }

  read(key: string, value: string): EntryVersion | undefined {
    const content = this.#readContent(key, value);
    const renewalCount = this.#decoder.readRenewalCount(value);
    return content === undefined || !Number.isSafeInteger(renewalCount) ||
        !fitsService(content, this.#services)
      ? undefined
      : [content.bornAt, renewalCount];
  }

  #readContent(key: string, value: string): EntryContent | undefined {
    const text = this.#decoder.removeRenewalCount(value);
    const known = this.#contents.get(key);
    if (known?.text === text) {
      return known;
    }
    return this.#decoder.instance(key, value).match({
      Ok: ({ bornAt, service, engine }): EntryContent | undefined => {
        const content = { text, bornAt, service, engine };
        this.#contents.set(key, content);
        return content;
      },
      Err: () => undefined,
    });
  }
}

/** Reads the version of the configuration; evacuations have none. */
export class ConfigurationVersions implements VersionReader {
  /** Operators number the configurations, but write them one by one. */
  readonly mayReorder = false;
  #decoder: RecordDecoder;
  /** The value that was read last, as peers send it again and again. */
  #last: { value: string; version: EntryVersion | undefined } | undefined;

  constructor(decoder: RecordDecoder) {
    this.#decoder = decoder;
  }

  read(key: string, value: string): EntryVersion | undefined {
    if (this.#decoder.configurationKey(key)?.kind !== "configuration") {
      return undefined;
    }
    if (this.#last?.value !== value) {
      const version = this.#decoder.configuration(value).match({
        Ok: (configuration): EntryVersion | undefined => [
          configuration.version,
        ],
        Err: () => undefined,
      });
      this.#last = { value, version };
    }
    return this.#last.version;
  }
}

/** Positive if the first version is newer, 0 if they are equal. */
export function compareVersions(a: EntryVersion, b: EntryVersion): number {
  const index = a.findIndex((number, position) => number !== b[position]);
  return index < 0 ? 0 : a[index]! - b[index]!;
}
