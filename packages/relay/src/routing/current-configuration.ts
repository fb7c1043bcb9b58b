/**
 * The configuration in force at this node.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import type { Configuration } from "../model/configuration.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import { eraOf, offsetOf } from "../model/store-position.ts";
import type { RecordDecoder } from "../adapter.ts";
import { dropOldest } from "../drop-oldest.ts";
import type { RelayKernel } from "../services.ts";
import { RouteTable } from "./route-table.ts";

/** Operators do not write as many keys by mistake. */
const MAX_UNKNOWN_KEYS = 1000;

/** Of more ignored fields in one version, only the count is logged. */
const MAX_LOGGED_FIELDS = 8;

/** A store of this era or an earlier one has not been restored yet. */
const FIRST_ERA = 1;

/** The record of a configuration. */
interface VersionRecord {
  readonly configuration: Configuration;
  readonly value: string;
  readonly position: number;
}

/**
 * Adopts each newer configuration, and never an older one. One with the version
 * in force is adopted only if the store was restored since and the content is
 * another: operators then number again from what the copy held.
 *
 * The first one that a restored store returns may be older than that of the
 * peers, so it waits for `admitFirst`.
 */
export class CurrentConfiguration implements Service {
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #feeds: Feeds;
  #routeTable: RouteTable | undefined;
  #adoptedAt: number | undefined;
  #newest: VersionRecord | undefined;
  #isFirstAdmitted = false;
  /** Keys that have been logged as unknown. */
  #unknownKeys = new Set<string>();
  #listeners = new Set<(configuration: Configuration) => void>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#decoder = kernel.find("decoder");
    this.#feeds = kernel.find("feeds");
    this.#feeds.onChange("configuration", (records) => this.#apply(records));
  }

  /** Routes and accounts in force; undefined before the first configuration. */
  get routeTable(): RouteTable | undefined {
    return this.#routeTable;
  }

  get current(): Configuration | undefined {
    return this.#routeTable?.configuration;
  }

  /** How long ago this node adopted the current configuration. */
  get adoptedMsAgo(): number | undefined {
    return this.#adoptedAt === undefined
      ? undefined
      : Math.round(this.#clock.now() - this.#adoptedAt);
  }

  /** The newest version that this node knows, in force or not. */
  get newestVersion(): number | undefined {
    return this.#newest?.configuration.version;
  }

  /** Puts the first configuration in force, once there is one. */
  admitFirst(): void {
    this.#isFirstAdmitted = true;
    if (this.#routeTable === undefined && this.#newest !== undefined) {
      this.#adopt(this.#newest);
    }
  }

  /** Calls a listener after each change. */
  onChange(listener: (configuration: Configuration) => void): void {
    this.#listeners.add(listener);
  }

  dump(): unknown {
    return {
      version: this.current?.version,
      routes: this.current?.routes.length,
      ageMs: Math.round(this.#feeds.ageMs("configuration")),
    };
  }

  #apply(records: readonly KeyRecord[]): void {
    for (const { key, value, offset: position } of records) {
      const content = this.#decoder.configurationKey(key);
      const source = { era: eraOf(position), offset: offsetOf(position) };
      if (content === undefined) {
        this.#logUnknownKey(key, source);
      }
      if (content?.kind !== "configuration") {
        continue;
      }
      if (value === undefined) {
        this.#logger.warn("configuration_deleted", source);
        continue;
      }
      this.#decoder.configuration(value).match({
        Ok: (configuration) =>
          this.#applyVersion({ configuration, value, position }),
        Err: (error) => {
          this.#logger.warn("configuration_unreadable", { ...source, error });
        },
      });
    }
  }

  #logUnknownKey(key: string, source: { era: number; offset: number }): void {
    if (!this.#unknownKeys.has(key)) {
      this.#unknownKeys.add(key);
      dropOldest(this.#unknownKeys, MAX_UNKNOWN_KEYS);
      this.#logger.warn("configuration_key_unknown", { key, ...source });
    }
  }

  #applyVersion(record: VersionRecord): void {
    const { version } = record.configuration;
    const newest = this.newestVersion ?? -Infinity;
    if (version < newest || version === newest && !this.#isOfLaterEra(record)) {
      return;
    }
    const isKnown = version === newest && record.value === this.#newest?.value;
    this.#newest = record;
    if (!isKnown && !this.#awaitsAdmission(record)) {
      this.#adopt(record);
    }
  }

  /** Whether the store was restored after the newest version was read. */
  #isOfLaterEra({ position }: VersionRecord): boolean {
    return this.#newest !== undefined &&
      eraOf(position) > eraOf(this.#newest.position);
  }

  #awaitsAdmission({ position }: VersionRecord): boolean {
    return this.#routeTable === undefined && !this.#isFirstAdmitted &&
      eraOf(position) > FIRST_ERA;
  }

  #logIgnoredFields({ version, ignoredFields = [] }: Configuration): void {
    if (ignoredFields.length > 0) {
      this.#logger.warn("configuration_fields_ignored", {
        version,
        count: ignoredFields.length,
        fields: ignoredFields.slice(0, MAX_LOGGED_FIELDS)
          .map(({ route, field, reason }) => `${route}.${field}: ${reason}`)
          .join("; "),
      });
    }
  }

  #adopt({ configuration, position }: VersionRecord): void {
    const previous = this.current?.version;
    this.#routeTable = new RouteTable(configuration);
    this.#adoptedAt = this.#clock.now();
    this.#logger.info("configuration_adopted", {
      version: configuration.version,
      before: previous,
      era: eraOf(position),
      offset: offsetOf(position),
      routes: configuration.routes.length,
    });
    this.#logIgnoredFields(configuration);
    this.#listeners.forEach((listener) => listener(configuration));
  }
}
