/**
 * Which addresses callers should use.
 *
 * @module
 */
import type { Random, Service } from "@zinniahill/kernel";
import type { Lifecycle } from "../lifecycle.ts";
import type { NodeEntry } from "../model/peer-message.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { CapacityMonitor } from "./capacity-monitor.ts";

/** Addresses for a caller and how long they may be kept. */
export interface LookupResult {
  readonly addresses: readonly string[];
  readonly validMs: number;
}

/** A node that serves, and how much it can take. */
interface Candidate {
  readonly entry: NodeEntry;
  readonly capacity: number;
}

const MAX_ADDRESSES = 64;
/**
 * Nodes with at least this share of the largest capacity are in every answer,
 * so that callers of about equal nodes keep their connections.
 */
const EVEN_SHARE = 0.5;

/** Lists the nodes that serve. */
export class Lookup implements Service {
  #random: Random;
  #mesh: Mesh;
  #lifecycle: Lifecycle;
  #intake: CapacityMonitor;
  #validMs: number;

  constructor(kernel: RelayKernel) {
    this.#random = kernel.find("random");
    this.#mesh = kernel.find("mesh");
    this.#lifecycle = kernel.find("lifecycle");
    this.#intake = kernel.find("intake");
    this.#validMs = kernel.find("settings").limits.lookupValidityMs;
  }

  /**
   * Nodes that serve; those of the caller's data centre come first. Callers
   * choose among the addresses evenly, so a node that can take less is left
   * out of some answers.
   */
  find(dataCentre: string | undefined): LookupResult {
    const isNear = (entry: NodeEntry) => entry.dataCentre === dataCentre;
    const addresses = this.#draw(this.#listServing())
      .sort((a, b) => Number(isNear(b)) - Number(isNear(a)))
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

  #listServing(): Candidate[] {
    const peers = this.#mesh.list().filter(({ isServing }) => isServing);
    return this.#lifecycle.isServing
      ? [
        { entry: this.#mesh.ownEntry, capacity: this.#intake.capacity },
        ...peers,
      ]
      : peers;
  }

  #draw(candidates: readonly Candidate[]): NodeEntry[] {
    const most = Math.max(...candidates.map(({ capacity }) => capacity));
    return candidates
      .filter(({ capacity }) =>
        capacity >= most * EVEN_SHARE ||
        this.#random.fraction() < capacity / (most * EVEN_SHARE)
      )
      .map(({ entry }) => entry);
  }
}
