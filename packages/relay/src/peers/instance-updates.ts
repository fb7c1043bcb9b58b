/**
 * Passes changes of the instances from the holder of placement to its peers.
 *
 * The holder reads the store at the shortest interval. Most of what it reads
 * only renews entries; what is new goes to all nodes at once, so that each of
 * them needs to read the store only now and then.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import type { Instances } from "../hosts/instances.ts";
import type { KeyRecord, MessageOf } from "../model/peer-message.ts";
import type { HolderElector } from "../placement/holder-elector.ts";
import type { RelayKernel } from "../services.ts";
import type { Mesh } from "./mesh.ts";

const FEED = "instances";
/** Peers hear this often how far the holder has read, if nothing is new. */
const IDLE_MS = 400;

/** Sends news while this node holds placement, and takes those of the holder. */
export class InstanceUpdates implements Service {
  #clock: Clock;
  #feeds: Feeds;
  #mesh: Mesh;
  #holder: HolderElector;
  /** The offset up to which peers were told; undefined if this node is silent. */
  #toldNext: number | undefined;
  #toldAt = -Infinity;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#feeds = kernel.find("feeds");
    this.#mesh = kernel.find("mesh");
    this.#holder = kernel.find("holder");
    const instances: Instances = kernel.find("instances");
    instances.onUpdate((news) => this.#tell(news));
    this.#mesh.onMessage("news", (message) => this.#take(message));
  }

  dump(): unknown {
    return { toldNext: this.#toldNext };
  }

  #tell(records: readonly KeyRecord[]): void {
    if (!this.#holder.isHolder) {
      this.#toldNext = undefined;
      return;
    }
    const now = this.#clock.now();
    const { next } = this.#feeds.table(FEED);
    const from = this.#toldNext;
    // Peers can be told only what came since this node began to tell them.
    const isDue = from === undefined || records.length > 0 ||
      now - this.#toldAt >= IDLE_MS;
    if (!isDue) {
      return;
    }
    this.#toldNext = next;
    this.#toldAt = now;
    if (from !== undefined) {
      this.#mesh.broadcast({ kind: "news", from, next, records: [...records] });
    }
  }

  /** News after a gap are of no use: the store or a peer gives what is missing. */
  #take({ from, next, records }: MessageOf<"news">): void {
    if (from <= this.#feeds.table(FEED).next) {
      this.#feeds.applyUpdate(FEED, records, next);
    }
  }
}
