/**
 * The data centres, the delays between them, and whose nodes report.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import { DataCentreDelays } from "@zinniahill/policy";
import type { Configuration } from "../model/configuration.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { CurrentConfiguration } from "./current-configuration.ts";

/** What a preference for the own data centre depends on. */
export interface DataCentreView {
  readonly own: string;
  readonly delays: DataCentreDelays;
  /** Data centres of whose nodes recent reports are known. */
  readonly reported: ReadonlySet<string>;
}

const REFRESH_INTERVAL_MS = 250;
/**
 * Counts of a data centre whose nodes have all been silent for longer are not
 * used. Exceeds the age that reports reach through three hubs.
 */
const MAX_REPORT_AGE_MS = 2000;
const MIN_DATA_CENTRES = 2;

/** Tells whether a preference for the own data centre is in force. */
export class DataCentres implements Service {
  #clock: Clock;
  #mesh: Mesh;
  #configuration: CurrentConfiguration;
  #own: string;
  #regions: Readonly<Record<string, string>>;
  #source: Configuration | undefined;
  #delays: DataCentreDelays | undefined;
  #view: DataCentreView | undefined;
  #viewedAt = -Infinity;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#mesh = kernel.find("mesh");
    this.#configuration = kernel.find("configuration");
    const { node, dataCentres } = kernel.find("settings");
    this.#own = node.dataCentre;
    this.#regions = dataCentres ?? {};
  }

  /** The current view; undefined if the preference is not in force. */
  get view(): DataCentreView | undefined {
    const now = this.#clock.now();
    if (now >= this.#viewedAt + REFRESH_INTERVAL_MS) {
      this.#viewedAt = now;
      this.#view = this.#createView();
    }
    return this.#view;
  }

  dump(): unknown {
    return {
      isInForce: this.view !== undefined,
      reported: [...this.view?.reported ?? []],
    };
  }

  #createView(): DataCentreView | undefined {
    const delays = this.#findDelays();
    return delays === undefined
      ? undefined
      : { own: this.#own, delays, reported: this.#listReported() };
  }

  #findDelays(): DataCentreDelays | undefined {
    const { current } = this.#configuration;
    if (current !== this.#source) {
      this.#source = current;
      const rows = current?.services.flatMap(({ engine }) =>
        engine?.delays ?? []
      ) ?? [];
      const isInForce = rows.length > 0 &&
        Object.keys(this.#regions).length >= MIN_DATA_CENTRES;
      this.#delays = isInForce
        ? new DataCentreDelays(this.#own, this.#regions, rows)
        : undefined;
    }
    return this.#delays;
  }

  #listReported(): Set<string> {
    const peers = this.#mesh.list();
    const reported = new Set(
      peers.filter(({ silentMs }) => silentMs <= MAX_REPORT_AGE_MS)
        .map(({ entry }) => entry.dataCentre),
    );
    // The only node of a data centre knows its load there by its own count.
    if (!peers.some(({ entry }) => entry.dataCentre === this.#own)) {
      reported.add(this.#own);
    }
    return reported;
  }
}
