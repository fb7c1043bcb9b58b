/**
 * Which addresses callers should use.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import type { Lifecycle } from "../lifecycle.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";

/** Addresses for a caller and how long they may be kept. */
export interface LookupAnswer {
  readonly addresses: readonly string[];
  readonly validMs: number;
}

const MAX_ADDRESSES = 64;

/** Lists the nodes that serve. */
export class Lookup implements Service {
  #mesh: Mesh;
  #lifecycle: Lifecycle;
  #validMs: number;

  constructor(kernel: RelayKernel) {
    this.#mesh = kernel.find("mesh");
    this.#lifecycle = kernel.find("lifecycle");
    this.#validMs = kernel.find("settings").limits.lookupValidityMs;
  }

  /** Nodes that serve; those of the caller's data centre come first. */
  find(dataCentre: string | undefined): LookupAnswer {
    const serving = this.#mesh.list()
      .filter(({ isServing }) => isServing)
      .map(({ entry }) => entry);
    const own = this.#lifecycle.isServing ? [this.#mesh.own] : [];
    const isNear = (entry: { dataCentre: string }) =>
      entry.dataCentre === dataCentre;
    const addresses = [...own, ...serving]
      .sort((a, b) => Number(isNear(b)) - Number(isNear(a)))
      .slice(0, MAX_ADDRESSES)
      .map(({ publicAddress }) => publicAddress);
    return { addresses, validMs: this.#validMs };
  }

  dump(): unknown {
    return this.find(undefined);
  }
}
