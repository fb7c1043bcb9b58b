/**
 * Hosts that belong to no group and can join one.
 *
 * @module
 */
import type { FreeHost } from "@zinniahill/policy";
import type { Group } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { EvacuatedHosts } from "./evacuated-hosts.ts";
import type { HostHealth } from "./host-health.ts";
import type { LoadedModels } from "./loaded-models.ts";
import type { OccupiedHosts } from "./occupied-hosts.ts";
import type { ReleasedHosts } from "./released-hosts.ts";
import type { WeightStager } from "./weight-stager.ts";

/** Lists free hosts with the models in their memory and staged on them. */
export class FreeHosts {
  #instances: Instances;
  #evacuated: EvacuatedHosts;
  #health: HostHealth;
  #weightStager: WeightStager;
  #releasedHosts: ReleasedHosts;
  #loadedModels: LoadedModels;
  #occupiedHosts: OccupiedHosts;

  constructor(
    kernel: RelayKernel,
    evacuated: EvacuatedHosts,
    health: HostHealth,
    weightStager: WeightStager,
    releasedHosts: ReleasedHosts,
    loadedModels: LoadedModels,
    occupiedHosts: OccupiedHosts,
  ) {
    this.#instances = kernel.find("instances");
    this.#evacuated = evacuated;
    this.#health = health;
    this.#weightStager = weightStager;
    this.#releasedHosts = releasedHosts;
    this.#loadedModels = loadedModels;
    this.#occupiedHosts = occupiedHosts;
  }

  /**
   * Lists responsive hosts of a service that no group or task occupies, outside of
   * evacuated data centres.
   */
  list(
    service: string,
    occupyingGroups: readonly Group[],
    busyHosts: ReadonlySet<string>,
  ): FreeHost[] {
    const occupiedHosts = new Set(
      occupyingGroups.flatMap(({ members }) => members.map(({ id }) => id)),
    );
    return this.#instances.listAvailable(service)
      .filter((instance) =>
        instance.engine !== undefined && !occupiedHosts.has(instance.id) &&
        !busyHosts.has(instance.id) && !this.#health.isMissing(instance) &&
        !this.#releasedHosts.isHeldBack(instance.id) &&
        !this.#occupiedHosts.includes(instance) &&
        !this.#evacuated.includesHost(instance.id)
      )
      .map((instance) => this.describe(instance));
  }

  /** Describes a host as it is once it is free. */
  describe(instance: Instance): FreeHost {
    return {
      id: instance.id,
      fabricDomain: getFabricDomain(instance),
      ...this.#loadedModels.find(instance),
      staged: instance.engine!.staged,
      staging: this.#weightStager.findStagingModel(instance.id),
      isSlow: this.#health.isSlow(instance),
    };
  }
}

/** Returns the fabric domain of an instance, or an empty string if unknown. */
export function getFabricDomain(instance: Instance | undefined): string {
  return instance?.engine?.fabricDomain ?? "";
}
