/**
 * Chooses the next group that the free hosts of one domain form.
 *
 * @module
 */
import type {
  FreeHost,
  GroupPlanInput,
  PlannedModel,
} from "./group-plan-input.ts";
import { getJoinCost, holdsWeights, mustLoad } from "./join-cost.ts";

/** A group to be formed; the first member is the lead. */
export interface Formation {
  readonly model: string;
  readonly members: readonly string[];
  /** Members that must load weights from the weight store. */
  readonly membersToLoad: ReadonlySet<string>;
  /**
   * Number of earlier groups of the model, times the part of the members that
   * load. Lower numbers load first: the others of few loading members wait.
   */
  readonly loadPriority: number;
  readonly fabricDomain: string;
  /** Free hosts of the fabric domain that remain. */
  readonly remainingSpares: number;
  /** Those of them that hold its weights in memory or staged. */
  readonly readySpares: number;
  /** The model's share of the work at the time of the plan. */
  readonly demandShare: number;
}

/** A group that the hosts of one domain could form. */
export type FormationCandidate = Omit<Formation, "demandShare">;

/** The free hosts of a domain, and what they are kept for. */
export interface DomainHosts {
  readonly fabricDomain: string;
  readonly hosts: readonly FreeHost[];
  /** The model that a conversion in progress frees hosts for. */
  readonly reservedFor: string | undefined;
}

/** What the free hosts of a domain should form. */
export interface FormationChoice {
  readonly formation: FormationCandidate;
  /** Whether the hosts hold most of its weights. */
  readonly isPreferred: boolean;
}

/** Spares that a domain keeps when it forms an additional group. */
const MIN_SPARES_AFTER_NEW_GROUP = 1;

/** Chooses the most needed group that the hosts can form, if any. */
export function chooseFormation(
  input: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  { fabricDomain, hosts, reservedFor }: DomainHosts,
): FormationChoice | undefined {
  const candidates = input.engine.models
    .filter(({ name }) => reservedFor === undefined || name === reservedFor)
    .map((model) => {
      const formation = chooseMembers(
        model,
        hosts,
        groupCounts.get(model.name) ?? 0,
      );
      return {
        model,
        workPerGroup: computeWorkPerGroup(
          model,
          input.demandShares,
          groupCounts,
        ),
        formation,
        isRepair: reservedFor !== undefined ||
          isRepair(model, formation, hosts),
      };
    })
    .sort((a, b) => b.workPerGroup - a.workPerGroup);
  const isUnsettled = input.unsettledDomains.has(fabricDomain);
  const eligible = candidates.filter(({ model, formation, isRepair }) =>
    formation.members.length === model.hostCount &&
    (!isUnsettled || formation.membersToLoad.size === 0) &&
    (isRepair || formation.remainingSpares >= MIN_SPARES_AFTER_NEW_GROUP)
  );
  const withoutLoad = eligible.filter(({ formation }) =>
    formation.membersToLoad.size === 0
  );
  // A staging takes as long as the load of a repair, which uses what its hosts
  // hold in memory.
  const preferred =
    withoutLoad.find(({ model, formation, isRepair }) =>
      isRepair || isReadyToJoin(model, formation, hosts)
    ) ?? eligible.find(({ isRepair }) => isRepair) ?? withoutLoad[0];
  if (preferred !== undefined) {
    return { formation: preferred.formation, isPreferred: true };
  }
  // Hosts added later may complete a group that is needed more.
  const isWaiting = eligible[0] !== candidates[0] &&
    (input.hasNewHosts || isMissingAtMostOneHost(candidates[0]!.model, hosts));
  return isWaiting || eligible[0] === undefined
    ? undefined
    : { formation: eligible[0].formation, isPreferred: false };
}

/** Chooses the hosts that can join soonest; slow hosts come last. */
export function chooseMembers(
  model: PlannedModel,
  hosts: readonly FreeHost[],
  earlierGroups: number,
): FormationCandidate {
  const chosen = [...hosts]
    .sort((a, b) =>
      Number(a.isSlow) - Number(b.isSlow) ||
      getJoinCost(a, model.name) - getJoinCost(b, model.name)
    )
    .slice(0, model.hostCount);
  const spares = hosts.filter((host) => !chosen.includes(host));
  const hostsToLoad = chosen.filter((host) => mustLoad(host, model.name));
  return {
    model: model.name,
    members: chosen.map(({ id }) => id),
    membersToLoad: new Set(hostsToLoad.map(({ id }) => id)),
    loadPriority: earlierGroups * hostsToLoad.length / model.hostCount,
    fabricDomain: hosts[0]?.fabricDomain ?? "",
    remainingSpares: spares.length,
    readySpares: spares.filter((host) => holdsWeights(host, model.name)).length,
  };
}

/** Work for each group of a model if one more group is formed. */
function computeWorkPerGroup(
  model: PlannedModel,
  demandShares: ReadonlyMap<string, number>,
  groupCounts: ReadonlyMap<string, number>,
): number {
  const work = demandShares.get(model.name) ?? 0;
  const groups = (groupCounts.get(model.name) ?? 0) + 1;
  return work / groups;
}

/** Whether all members hold the weights in memory or staged. */
function isReadyToJoin(
  { name }: PlannedModel,
  { members }: FormationCandidate,
  hosts: readonly FreeHost[],
): boolean {
  return hosts.every((host) =>
    !members.includes(host.id) || holdsWeights(host, name)
  );
}

/**
 * Whether at least half of the members were in a group of the model, and at
 * most half must load weights.
 */
function isRepair(
  { name, hostCount: size }: PlannedModel,
  { members, membersToLoad }: FormationCandidate,
  hosts: readonly FreeHost[],
): boolean {
  const keptHosts = hosts.filter(({ id, modelInMemory }) =>
    modelInMemory === name && members.includes(id)
  );
  return membersToLoad.size * 2 <= size && keptHosts.length * 2 >= size;
}

/**
 * Whether a group that needs no load lacks at most one host, as after the loss
 * of one member.
 */
function isMissingAtMostOneHost(
  { name, hostCount }: PlannedModel,
  hosts: readonly FreeHost[],
): boolean {
  const hostsWithoutLoad = hosts.filter((host) => !mustLoad(host, name));
  return hostsWithoutLoad.length >= hostCount - 1;
}
