/**
 * Sends changes of the instances from the holder of placement to its peers.
 *
 * The holder reads the store most often. Most of the records that it reads only
 * renew entries; it sends the others to all nodes at once, so that these need
 * to read the store only occasionally.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import type { Instances } from "../hosts/instances.ts";
import type { KeyRecord, MessageOf } from "../model/peer-message.ts";
import type { HolderElector } from "../placement/holder-elector.ts";
import { eraOf } from "../model/store-position.ts";
import type { RelayKernel } from "../services.ts";
import type { Mesh } from "./mesh.ts";

const FEED = "instances";
/** How often the holder sends its position to peers if nothing has changed. */
const IDLE_INTERVAL_MS = 400;

/** Sends updates while this node holds placement, and applies the holder's. */
export class InstanceUpdates implements Service {
  #clock: Clock;
  #feeds: Feeds;
  #mesh: Mesh;
  #holder: HolderElector;
  /** The end of the last update; undefined while this node sends none. */
  #sentNext: number | undefined;
  #sentAt = -Infinity;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#feeds = kernel.find("feeds");
    this.#mesh = kernel.find("mesh");
    this.#holder = kernel.find("holder");
    const instances: Instances = kernel.find("instances");
    instances.onUpdate((records) => this.#send(records));
    this.#mesh.onMessage("news", (message) => this.#apply(message));
  }

  dump(): unknown {
    return { toldNext: this.#sentNext };
  }

  #send(records: readonly KeyRecord[]): void {
    if (!this.#holder.isHolder) {
      this.#sentNext = undefined;
      return;
    }
    const now = this.#clock.now();
    const { next } = this.#feeds.table(FEED);
    const from = this.#getStart(next);
    // An update can cover only what was read since this node became the sender.
    const isDue = from === undefined || records.length > 0 ||
      now - this.#sentAt >= IDLE_INTERVAL_MS;
    if (!isDue) {
      return;
    }
    this.#sentNext = next;
    this.#sentAt = now;
    if (from !== undefined) {
      this.#mesh.broadcast({ kind: "news", from, next, records: [...records] });
    }
  }

  /**
   * The end of the last update, where the next one begins. None spans a restore
   * of the store: peers have to read what it has lost.
   */
  #getStart(next: number): number | undefined {
    return this.#sentNext !== undefined && eraOf(this.#sentNext) === eraOf(next)
      ? this.#sentNext
      : undefined;
  }

  /**
   * Ignores an update after a gap: the store or a peer supplies the missing
   * records.
   */
  #apply({ from, next, records }: MessageOf<"news">): void {
    if (from <= this.#feeds.table(FEED).next) {
      this.#feeds.applyUpdate(FEED, records, next);
    }
  }
}
