/**
 * The data centres that operators have evacuated.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import {
  type EvacuationState,
  getUse,
  isStanding,
  reduceEvacuation,
  restrictUse,
  type UpstreamUse,
} from "@zinniahill/policy";
import type { RecordDecoder } from "../adapter.ts";
import type { Feeds } from "../feeds/feeds.ts";
import type { Group } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { Instance } from "../model/instance.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import { eraOf, offsetOf } from "../model/store-position.ts";
import type { RelayKernel } from "../services.ts";

/** Called with a data centre whose evacuation has begun or ended. */
export type EvacuationListener = (dataCentre: string) => void;

const FEED = "configuration";
/** Used if the settings name no bound. */
const DEFAULT_BOUND_MS = 5000;

/** Follows the evacuation records of the configuration feed. */
export class Evacuations implements Service {
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #feeds: Feeds;
  #instances: Instances;
  #boundMs: number;
  #states = new Map<string, EvacuationState>();
  /** The data centres that are evacuated. */
  #evacuated = new Set<string>();
  #listeners = new Set<EvacuationListener>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#decoder = kernel.find("decoder");
    this.#feeds = kernel.find("feeds");
    this.#instances = kernel.find("instances");
    const { evacuation } = kernel.find("settings");
    this.#boundMs = evacuation?.boundMs ?? DEFAULT_BOUND_MS;
    this.#feeds.onChange(FEED, (records) => this.#apply(records));
  }

  /** Number of evacuated data centres. */
  get size(): number {
    return this.#evacuated.size;
  }

  /** Whether the data centre is evacuated, from when this node learns of it. */
  isEvacuated(dataCentre: string): boolean {
    return this.#evacuated.has(dataCentre);
  }

  /** Whether requests may be sent there, if only as a last resort. */
  acceptsRequests(dataCentre: string): boolean {
    return this.#getUse(dataCentre) !== "none";
  }

  /**
   * When this node learned that the last evacuation of the data centre has
   * ended; undefined if there was none or it is evacuated.
   */
  endedAt(dataCentre: string): number | undefined {
    return this.#states.get(dataCentre)?.endedAt;
  }

  /** Calls a listener after each change. */
  onChange(listener: EvacuationListener): void {
    this.#listeners.add(listener);
  }

  /** Which requests a plain instance may get. */
  getInstanceUse({ dataCentre }: Instance): UpstreamUse {
    return this.#getUse(dataCentre);
  }

  /** Which requests a group may get: it is where all of its members are. */
  getGroupUse(group: Group): UpstreamUse {
    return this.size === 0 ? "any" : restrictUse(
      this.#listDataCentres(group).map((name) => this.#getUse(name)),
    );
  }

  /** Whether a member of the group is in an evacuated data centre. */
  isEvacuatedGroup(group: Group): boolean {
    return this.size > 0 &&
      this.#listDataCentres(group).some((name) => this.isEvacuated(name));
  }

  dump(): unknown {
    return Object.fromEntries(this.#states);
  }

  /** Members that were listed until lately count, as they may still work. */
  #listDataCentres({ name, epoch, members }: Group): string[] {
    const departed = this.#instances.listDeparted(name, epoch);
    return [...members, ...departed].map(({ dataCentre }) => dataCentre);
  }

  #getUse(dataCentre: string): UpstreamUse {
    return this.#evacuated.has(dataCentre)
      ? getUse(this.#states.get(dataCentre), this.#clock.now())
      : "any";
  }

  #apply(records: readonly KeyRecord[]): void {
    for (const { key, value, offset } of records) {
      const content = this.#decoder.configurationKey(key);
      if (content?.kind === "evacuation") {
        this.#change(content.dataCentre, value !== undefined, offset);
      }
    }
  }

  #change(dataCentre: string, isEvacuated: boolean, position: number): void {
    const source = { era: eraOf(position), offset: offsetOf(position) };
    const now = this.#clock.now();
    const ageMs = this.#feeds.ageMs(FEED);
    const previous = this.#states.get(dataCentre);
    const { state, change } = reduceEvacuation(previous, isEvacuated, {
      now,
      completeAt: now - ageMs,
      boundMs: this.#boundMs,
    });
    if (state === undefined || change === undefined) {
      return;
    }
    this.#states.set(dataCentre, state);
    if (isStanding(state)) {
      this.#evacuated.add(dataCentre);
      this.#logger.info("evacuation_began", {
        data_centre: dataCentre,
        ...source,
        last_resort_ms: Math.max(0, Math.round(state.lastResortUntil - now)),
        feed_age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      });
    } else {
      this.#evacuated.delete(dataCentre);
      this.#logger.info("evacuation_ended", {
        data_centre: dataCentre,
        ...source,
        lasted_ms: Math.round(now - state.beganAt),
      });
    }
    this.#listeners.forEach((listener) => listener(dataCentre));
  }
}
