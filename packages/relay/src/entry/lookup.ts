/**
 * Selects the node addresses that callers should use.
 *
 * @module
 */
import type { Random, Service } from "@zinniahill/kernel";
import {
  computeListingShare,
  type ListedNode,
  preferLocalNodes,
} from "@zinniahill/policy";
import type { Lifecycle } from "../lifecycle.ts";
import type { NodeEntry } from "../model/peer-message.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { DataCentres } from "../routing/data-centres.ts";
import type { CapacityMonitor } from "./capacity-monitor.ts";

/** Node addresses for a caller, and how long it may cache them. */
export interface LookupResult {
  readonly addresses: readonly string[];
  readonly validMs: number;
}

/** A serving node. */
interface Candidate extends ListedNode {
  readonly entry: NodeEntry;
}

const MAX_ADDRESSES = 64;

/** Lists the addresses of serving nodes. */
export class Lookup implements Service {
  #random: Random;
  #mesh: Mesh;
  #lifecycle: Lifecycle;
  #capacityMonitor: CapacityMonitor;
  #dataCentres: DataCentres;
  #validMs: number;

  constructor(kernel: RelayKernel) {
    this.#random = kernel.find("random");
    this.#mesh = kernel.find("mesh");
    this.#lifecycle = kernel.find("lifecycle");
    this.#capacityMonitor = kernel.find("intake");
    this.#dataCentres = kernel.find("dataCentres");
    this.#validMs = kernel.find("settings").limits.lookupValidityMs;
  }

  /**
   * Returns serving nodes, those in the caller's data centre first, and only
   * those if a preference is in force and they are enough. Callers
   * spread evenly over the addresses, so a node with less capacity is left out
   * of some results.
   */
  find(dataCentre: string | undefined): LookupResult {
    const isLocal = (entry: NodeEntry) => entry.dataCentre === dataCentre;
    const addresses = this.#sampleByCapacity(this.#listFor(dataCentre))
      .sort((a, b) => Number(isLocal(b)) - Number(isLocal(a)))
      .slice(0, MAX_ADDRESSES)
      .map(({ publicAddress }) => publicAddress);
    return { addresses, validMs: this.#validMs };
  }

  dump(): unknown {
    return this.#listServing().map(({ entry, capacity }) => ({
      name: entry.name,
      capacity,
    }));
  }

  #listFor(dataCentre: string | undefined): Candidate[] {
    const serving = this.#listServing();
    return dataCentre === undefined || this.#dataCentres.view === undefined
      ? serving
      : preferLocalNodes(serving, dataCentre, this.#random);
  }

  #listServing(): Candidate[] {
    const { ownEntry } = this.#mesh;
    const own = {
      entry: ownEntry,
      capacity: this.#capacityMonitor.capacity,
      isServing: this.#lifecycle.isServing,
    };
    return [own, ...this.#mesh.list()]
      .filter(({ isServing }) => isServing)
      .map(({ entry, capacity }) => ({
        entry,
        capacity,
        dataCentre: entry.dataCentre,
      }));
  }

  #sampleByCapacity(candidates: readonly Candidate[]): NodeEntry[] {
    const maxCapacity = Math.max(...candidates.map(({ capacity }) => capacity));
    return candidates
      .filter(({ capacity }) =>
        this.#random.fraction() < computeListingShare(capacity, maxCapacity)
      )
      .map(({ entry }) => entry);
  }
}
