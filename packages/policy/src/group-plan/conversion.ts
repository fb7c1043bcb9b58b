/**
 * Decides whether groups of one model end so that their hosts complete a group
 * of another model.
 *
 * @module
 */
import { computeLoadMs, estimateCost } from "./capacity-cost.ts";
import {
  estimateWorkPerGroup,
  isConversionAllowed,
  isConversionDue,
  MAX_WORK_WITH_ROOM,
} from "./conversion-limits.ts";
import {
  chooseMembers,
  type DomainHosts,
  type FormationCandidate,
} from "./formation.ts";
import type {
  ConvertibleGroup,
  FreeHost,
  GroupPlanInput,
  PlannedModel,
} from "./group-plan-input.ts";
import { mustLoad } from "./join-cost.ts";

/** Groups to be ended, and the group that their hosts complete. */
export interface Conversion {
  readonly from: string;
  readonly to: string;
  readonly fabricDomain: string;
  readonly groups: readonly ConvertibleGroup[];
  /** Groups that the hosts then form. */
  readonly newGroups: number;
  /** Members of them that load weights from the weight store. */
  readonly loads: number;
  /** Whether at least half of the members hold the weights in memory. */
  readonly isRepair: boolean;
  /** The part of the cost that it saves. */
  readonly gain: number;
}

/** A conversion that pays, and whether it may begin now. */
export interface ConversionChoice {
  readonly conversion: Conversion;
  readonly isDue: boolean;
}

/**
 * The time in which a conversion has to pay. Covers a load of all members in
 * two turns at the weight store, 35 s with the users' larger models.
 */
const HORIZON_MS = 90_000;
/** Time for a group to finish its requests and to leave. */
const DRAIN_MS = 3000;
/** The least part of the cost that a conversion saves, so that it is clear. */
const MIN_GAIN = 0.03;
/**
 * The same without a repair: demand may change again before the members have
 * loaded, and other groups wait for their loads.
 */
const MIN_GAIN_OF_LOADS = 0.06;
/** Finds the conversion in a domain that saves most, if one pays. */
export function chooseConversion(
  input: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  domain: DomainHosts,
  alternative: FormationCandidate | undefined,
): ConversionChoice | undefined {
  const { models } = input.engine;
  const conversions = models.flatMap((to) =>
    models.filter((from) => from !== to).flatMap((from) =>
      createConversion(input, groupCounts, domain, from, to, alternative) ?? []
    )
  ).filter((conversion) => isConversionAllowed(input, groupCounts, conversion));
  const [best] = conversions.sort((a, b) => b.gain - a.gain);
  return best === undefined
    ? undefined
    : { conversion: best, isDue: isConversionDue(input, best) };
}

function createConversion(
  input: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  { fabricDomain, hosts: freeHosts }: DomainHosts,
  from: PlannedModel,
  to: PlannedModel,
  alternative: FormationCandidate | undefined,
): Conversion | undefined {
  const hosts = [
    ...freeHosts,
    ...input.endingHosts.filter((host) => host.fabricDomain === fabricDomain),
  ];
  const groupsNeeded = Math.ceil(
    (to.hostCount - hosts.length) / from.hostCount,
  );
  const groups = input.convertibleGroups
    .filter((group) =>
      group.model === from.name && group.fabricDomain === fabricDomain
    )
    .sort((a, b) => countLoads(a.hosts, to) - countLoads(b.hosts, to))
    .slice(0, groupsNeeded);
  if (groupsNeeded <= 0 || groups.length < groupsNeeded) {
    return undefined;
  }
  const available = [...hosts, ...groups.flatMap((group) => group.hosts)];
  const newGroups = Math.floor(available.length / to.hostCount);
  const { members, membersToLoad } = chooseMembers(
    { ...to, hostCount: newGroups * to.hostCount },
    available,
    0,
  );
  const kept = available.filter(({ id, modelInMemory }) =>
    modelInMemory === to.name && members.includes(id)
  );
  const isRepair = kept.length * 2 >= members.length &&
    membersToLoad.size * 2 <= members.length;
  const conversion = {
    from: from.name,
    to: to.name,
    fabricDomain,
    groups,
    newGroups,
    loads: membersToLoad.size,
    isRepair,
  };
  const gain = computeGain(input, groupCounts, conversion) -
    computeFormationGain(input, groupCounts, freeHosts, alternative);
  const minGain = isRepair ? MIN_GAIN : MIN_GAIN_OF_LOADS;
  return gain < minGain ? undefined : { ...conversion, gain };
}

function countLoads(hosts: readonly FreeHost[], { name }: PlannedModel) {
  return hosts.filter((host) => mustLoad(host, name)).length;
}

/** The part of the cost over the horizon that a conversion saves. */
function computeGain(
  input: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  { from, to, groups, newGroups, loads, isRepair }: Omit<
    Conversion,
    "gain"
  >,
): number {
  const before = estimateCost(input.demandShares, groupCounts);
  const duringCounts = addGroups(groupCounts, from, -groups.length);
  const during = estimateCost(input.demandShares, duringCounts);
  const after = estimateCost(
    input.demandShares,
    addGroups(duringCounts, to, newGroups),
  );
  const share = computeTimeInUse(
    DRAIN_MS + computeLoadMs(input, to, loads, isRepair),
  );
  return (before - during * (1 - share) - after * share) / before;
}

/**
 * The same for the groups that the free hosts can form alone; none if their
 * model has room, as loads then serve nobody.
 */
function computeFormationGain(
  input: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  hosts: readonly FreeHost[],
  formation: FormationCandidate | undefined,
): number {
  if (formation === undefined) {
    return 0;
  }
  const { model, members, membersToLoad } = formation;
  if (estimateWorkPerGroup(input, groupCounts, model) < MAX_WORK_WITH_ROOM) {
    return 0;
  }
  const count = Math.floor(hosts.length / members.length);
  const before = estimateCost(input.demandShares, groupCounts);
  const after = estimateCost(
    input.demandShares,
    addGroups(groupCounts, model, count),
  );
  const loadMs = computeLoadMs(
    input,
    model,
    count * membersToLoad.size,
    false,
  );
  return (before - after) / before * computeTimeInUse(loadMs);
}

/** The part of the horizon for which groups are in use. */
function computeTimeInUse(delayMs: number): number {
  return Math.max(0, 1 - delayMs / HORIZON_MS);
}

function addGroups(
  groupCounts: ReadonlyMap<string, number>,
  model: string,
  count: number,
): ReadonlyMap<string, number> {
  return new Map(groupCounts)
    .set(model, (groupCounts.get(model) ?? 0) + count);
}
