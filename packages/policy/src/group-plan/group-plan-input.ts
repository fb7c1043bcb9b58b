/**
 * State of the hosts and of the demand that a plan is made for.
 *
 * @module
 */

/** What a plan depends on of a model. */
export interface PlannedModel {
  readonly name: string;
  readonly hostCount: number;
  /** Time to load the weights from the weight store. */
  readonly loadMs: number;
  /** Time to load weights that are staged on the host. */
  readonly stagedLoadMs: number;
}

/** What a plan depends on of the engines of a service. */
export interface PlannedEngine {
  readonly models: readonly PlannedModel[];
  readonly concurrentLoads: number;
  readonly maxLoadsPerSecond: number;
}

/** A host that no group occupies. */
export interface FreeHost {
  readonly id: string;
  readonly fabricDomain: string;
  /** The model of its last group, if its weights are still in memory. */
  readonly modelInMemory: string | undefined;
  /** The model that it has loaded since as a spare. */
  readonly warmedModel?: string | undefined;
  readonly staged: readonly string[];
  /** The model that is being staged. */
  readonly staging: string | undefined;
  /** Whether its engine was recently much slower than its profile. */
  readonly isSlow: boolean;
}

/** An open group that a conversion may end. */
export interface ConvertibleGroup {
  readonly name: string;
  readonly epoch: number;
  readonly model: string;
  readonly fabricDomain: string;
  /** Its hosts, as they will be once they are free. */
  readonly hosts: readonly FreeHost[];
}

/** A conversion that was begun. */
export interface PastConversion {
  readonly from: string;
  readonly to: string;
  readonly fabricDomain: string;
  /** Groups that it ends. */
  readonly endedGroups: number;
  /** Whether at least half of the new members hold the weights in memory. */
  readonly isRepair: boolean;
  readonly ageMs: number;
  /** Whether the new group is not being formed yet. */
  readonly isInProgress: boolean;
}

/** State of the hosts and of the demand that a plan is made for. */
export interface GroupPlanInput {
  readonly engine: PlannedEngine;
  readonly freeHosts: readonly FreeHost[];
  /**
   * Number of groups of each model, including those being formed, without those
   * that end.
   */
  readonly groupCounts: ReadonlyMap<string, number>;
  /** Models of the groups in each fabric domain, one for each group. */
  readonly modelsByDomain: ReadonlyMap<string, readonly string[]>;
  /** Current share of the work of each model. */
  readonly demandShares: ReadonlyMap<string, number>;
  /** Work of all models, as the number of groups that it keeps busy. */
  readonly busyGroups: number;
  /** The work of callers of each data centre by model, in busy groups. */
  readonly workByDataCentre: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** The data centre of each fabric domain. */
  readonly dataCentres: ReadonlyMap<string, string>;
  /** Whether hosts are still being added, as after a start of all hosts. */
  readonly hasNewHosts: boolean;
  /** Hosts of each fabric domain that were lost just now and may return. */
  readonly returningHosts: ReadonlyMap<string, number>;
  /**
   * Fabric domains in which a group is being checked or ended. Its members may
   * soon need a spare with its model, so no spare loads other weights.
   */
  readonly unsettledDomains: ReadonlySet<string>;
  /**
   * Hosts that become free soon: the remaining members of groups that end
   * because others are draining.
   */
  readonly endingHosts: readonly FreeHost[];
  readonly convertibleGroups: readonly ConvertibleGroup[];
  readonly pastConversions: readonly PastConversion[];
  /** Loads from the weight store that are in progress or wait. */
  readonly pendingLoads: number;
}
