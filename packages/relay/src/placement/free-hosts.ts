/**
 * Hosts that belong to no group and can join one.
 *
 * @module
 */
import type { Group } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { HostHealth } from "./host-health.ts";
import type { FreeHost } from "./plan.ts";
import type { WeightStager } from "./weight-stager.ts";

/** Lists free hosts with what they hold. */
export class FreeHosts {
  #instances: Instances;
  #health: HostHealth;
  #stagings: WeightStager;

  constructor(kernel: RelayKernel, health: HostHealth, stagings: WeightStager) {
    this.#instances = kernel.find("instances");
    this.#health = health;
    this.#stagings = stagings;
  }

  /** Hosts of a service that no standing group and no task holds. */
  list(
    service: string,
    standing: readonly Group[],
    busyHosts: ReadonlySet<string>,
  ): FreeHost[] {
    const taken = new Set(
      standing.flatMap(({ members }) => members.map(({ id }) => id)),
    );
    return this.#instances.listAvailable(service)
      .filter((instance) =>
        instance.engine !== undefined && !taken.has(instance.id) &&
        !busyHosts.has(instance.id) && !this.#health.isMissing(instance)
      )
      .map((instance) => this.#describe(instance));
  }

  #describe(instance: Instance): FreeHost {
    return {
      id: instance.id,
      fabricDomain: readDomain(instance),
      modelInMemory: instance.engine!.model,
      staged: instance.engine!.staged,
      staging: this.#stagings.find(instance.id),
      isSlow: this.#health.isSlow(instance),
    };
  }
}

/** The fabric domain of an instance; empty when it is not known. */
export function readDomain(instance: Instance | undefined): string {
  return instance?.engine?.fabricDomain ?? "";
}
