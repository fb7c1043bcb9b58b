/**
 * Metrics, sent as datagrams to a collector on loopback or elsewhere.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import type { AppliedLimit } from "@zinniahill/clients";
import { StatsD } from "hot-shots";

/** Names and values of one metric's labels. */
export type Tags = Readonly<Record<string, string>>;

/** Sends metrics; without an address it sends nothing. */
export class Metrics implements Service {
  #client: StatsD;

  constructor(address: string | undefined, node: string) {
    const separator = address?.lastIndexOf(":") ?? 0;
    this.#client = new StatsD({
      prefix: "zinniahill.",
      globalTags: { node },
      mock: address === undefined,
      host: address?.slice(0, separator) ?? "127.0.0.1",
      port: Number(address?.slice(separator + 1) ?? 0),
      errorHandler: () => {},
    });
  }

  /** Adds to a counter. */
  count(name: string, value = 1, tags: Tags = {}): void {
    this.#client.increment(name, value, tags);
  }

  /** Counts that a limit was applied to a caller. */
  recordLimit(limit: AppliedLimit): void {
    this.count("limits_applied", 1, { limit });
  }

  /** Sets a gauge. */
  gauge(name: string, value: number, tags: Tags = {}): void {
    this.#client.gauge(name, value, tags);
  }

  /** Records a time in milliseconds. */
  timing(name: string, valueMs: number, tags: Tags = {}): void {
    this.#client.timing(name, valueMs, tags);
  }

  stop(): Promise<void> {
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }
}
