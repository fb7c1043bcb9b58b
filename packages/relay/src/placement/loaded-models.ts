/**
 * The models whose weights hosts have in memory.
 *
 * An engine keeps the weights of its last group, but its entry names them only
 * while it is a member that has loaded them.
 *
 * @module
 */
import type { FreeHost } from "@zinniahill/policy";
import { dropOldest } from "../drop-oldest.ts";
import { isWarmingName, parseGroupModel } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import {
  createProcessKey,
  type Instance,
  type MemberState,
} from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";

/** What a host has in memory, as a former member or as a spare. */
export type LoadedModel = Pick<FreeHost, "modelInMemory" | "warmedModel">;

/** More than the hosts of any deployment. */
const MAX_LOADED = 4096;
const NOTHING: LoadedModel = { modelInMemory: undefined };

/** Whether a member in a state has loaded the weights of its group. */
const HAS_LOADED: Readonly<Record<MemberState, boolean>> = {
  joining: false,
  ready: true,
  open: true,
  closing: true,
  broken: true,
};

/** Tracks on every node what processes have loaded, by their entries. */
export class LoadedModels {
  #models = new Map<string, LoadedModel>();

  constructor(kernel: RelayKernel) {
    const instances: Instances = kernel.find("instances");
    instances.onInstance((instance) => this.#record(instance));
  }

  /** The model whose weights a host has in memory, if it is known. */
  find(instance: Instance): LoadedModel {
    return this.#models.get(createProcessKey(instance)) ?? NOTHING;
  }

  #record(instance: Instance): void {
    const membership = instance.engine?.membership;
    if (membership === undefined) {
      return;
    }
    const { group, state } = membership;
    const key = createProcessKey(instance);
    const model = parseGroupModel(group);
    const known = this.#models.get(key) ?? NOTHING;
    const isKnown = known.modelInMemory === model ||
      known.warmedModel === model;
    // The process moves to the end of the map, which is dropped last.
    this.#models.delete(key);
    if (HAS_LOADED[state] && !isWarmingName(group)) {
      this.#models.set(key, { modelInMemory: model });
    } else if (isKnown) {
      this.#models.set(key, known);
    } else if (HAS_LOADED[state]) {
      this.#models.set(key, { modelInMemory: undefined, warmedModel: model });
    }
    dropOldest(this.#models, MAX_LOADED);
  }
}
