/**
 * The configuration in force at this node.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import type { Configuration } from "../model/configuration.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import type { RecordDecoder } from "../adapter.ts";
import { dropOldest } from "../drop-oldest.ts";
import type { RelayKernel } from "../services.ts";
import { RouteTable } from "./route-table.ts";

/** Operators do not write as many keys by mistake. */
const MAX_UNKNOWN_KEYS = 1000;

/** Adopts each newer configuration, and never an older one. */
export class CurrentConfiguration implements Service {
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #feeds: Feeds;
  #routeTable: RouteTable | undefined;
  #adoptedAt: number | undefined;
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
    for (const { key, value, offset } of records) {
      const content = this.#decoder.configurationKey(key);
      if (content === undefined) {
        this.#logUnknownKey(key, offset);
      }
      if (content?.kind !== "configuration") {
        continue;
      }
      if (value === undefined) {
        this.#logger.warn("configuration_deleted", { offset });
        continue;
      }
      this.#decoder.configuration(value).match({
        Ok: (configuration) => this.#adopt(configuration, offset),
        Err: (error) => {
          this.#logger.warn("configuration_unreadable", { offset, error });
        },
      });
    }
  }

  #logUnknownKey(key: string, offset: number): void {
    if (!this.#unknownKeys.has(key)) {
      this.#unknownKeys.add(key);
      dropOldest(this.#unknownKeys, MAX_UNKNOWN_KEYS);
      this.#logger.warn("configuration_key_unknown", { key, offset });
    }
  }

  #adopt(configuration: Configuration, offset: number): void {
    const previous = this.current?.version;
    if (previous !== undefined && configuration.version <= previous) {
      return;
    }
    this.#routeTable = new RouteTable(configuration);
    this.#adoptedAt = this.#clock.now();
    this.#logger.info("configuration_adopted", {
      version: configuration.version,
      before: previous,
      offset,
      routes: configuration.routes.length,
    });
    this.#listeners.forEach((listener) => listener(configuration));
  }
}
