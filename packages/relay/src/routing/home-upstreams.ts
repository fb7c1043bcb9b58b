/**
 * The upstreams that this node sends its requests to first.
 *
 * @module
 */
import { hashName } from "@zinniahill/clients";
import type { Clock, Service } from "@zinniahill/kernel";
import {
  computeHomeShares,
  computeListingShare,
  type HomeNode,
  type HomeShare,
  SpillShare,
} from "@zinniahill/policy";
import type { CapacityMonitor } from "../entry/capacity-monitor.ts";
import type { Instance } from "../model/instance.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";

/** Upstreams that serve the same requests. */
export interface UpstreamPool {
  /** Identifies the pool on this node. */
  readonly name: string;
  /** The upstreams, including those that a request excludes. */
  readonly upstreams: readonly Pick<Instance, "id" | "dataCentre">[];
  /** If defined, only its nodes share its upstreams. */
  readonly dataCentre: string | undefined;
}

/** This node's part of a pool. */
export interface NodePart {
  readonly shares: readonly HomeShare[];
  readonly spill: SpillShare;
}

interface CachedPart extends NodePart {
  readonly computedAt: number;
}

/** Shorter than the time in which a lost node or group is noticed. */
const REFRESH_INTERVAL_MS = 250;
/** Pools of services and models that no longer exist are removed above this. */
const MAX_CACHED_POOLS = 64;
const MAX_CACHED_HASHES = 4096;

/** Derives this node's shares of upstreams from the known nodes. */
export class HomeUpstreams implements Service {
  #clock: Clock;
  #mesh: Mesh;
  #capacityMonitor: CapacityMonitor;
  #cache = new Map<string, CachedPart>();
  #hashes = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#mesh = kernel.find("mesh");
    this.#capacityMonitor = kernel.find("intake");
  }

  /** Returns this node's part of a pool. */
  find(pool: UpstreamPool): NodePart {
    const now = this.#clock.now();
    const key = `${pool.dataCentre} ${pool.name}`;
    const known = this.#cache.get(key);
    if (known !== undefined && now < known.computedAt + REFRESH_INTERVAL_MS) {
      return known;
    }
    if (this.#cache.size >= MAX_CACHED_POOLS) {
      this.#cache.clear();
    }
    const shares = computeHomeShares(
      this.#mesh.ownEntry.name,
      this.#listNodes(pool.dataCentre),
      pool.upstreams.filter(({ dataCentre }) =>
        pool.dataCentre === undefined || dataCentre === pool.dataCentre
      ).map(({ id }) => id),
      (name) => this.#hash(name),
    );
    const spill = known?.spill ?? new SpillShare();
    const part = { shares, spill, computedAt: now };
    this.#cache.set(key, part);
    return part;
  }

  dump(): unknown {
    return Object.fromEntries(
      [...this.#cache].map(([name, { shares, spill }]) => [
        name,
        { shares, spillShare: spill.value },
      ]),
    );
  }

  /** This node and its serving peers, by the callers that lookups give them. */
  #listNodes(dataCentre: string | undefined): HomeNode[] {
    const { ownEntry } = this.#mesh;
    const candidates = [
      { entry: ownEntry, capacity: this.#capacityMonitor.capacity },
      ...this.#mesh.list().filter(({ isServing }) => isServing),
    ].filter(({ entry }) =>
      dataCentre === undefined || entry.dataCentre === dataCentre
    );
    const maxCapacity = Math.max(...candidates.map(({ capacity }) => capacity));
    return candidates.map(({ entry, capacity }) => ({
      name: entry.name,
      weight: computeListingShare(capacity, maxCapacity),
    }));
  }

  #hash(name: string): number {
    const known = this.#hashes.get(name);
    if (known !== undefined) {
      return known;
    }
    if (this.#hashes.size >= MAX_CACHED_HASHES) {
      this.#hashes.clear();
    }
    const hash = hashName(name);
    this.#hashes.set(name, hash);
    return hash;
  }
}
