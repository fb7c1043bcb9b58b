/**
 * Plans which groups free hosts form and which models spares stage.
 *
 * @module
 */
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";

/** A host that no group occupies. */
export interface FreeHost {
  readonly id: string;
  readonly fabricDomain: string;
  /** The model of its last group, which the host can join again soonest. */
  readonly modelInMemory: string | undefined;
  readonly staged: readonly string[];
  /** The model that is being staged. */
  readonly staging: string | undefined;
  /** Whether its engine was recently much slower than its profile. */
  readonly isSlow: boolean;
}

/** A group to be formed; the first member is the lead. */
export interface Formation {
  readonly model: string;
  readonly members: readonly string[];
  /** Members that must load weights from the weight store. */
  readonly membersToLoad: ReadonlySet<string>;
  /** Number of earlier groups of the model, whose loads have priority. */
  readonly loadPriority: number;
  readonly fabricDomain: string;
  /** Free hosts of the fabric domain that remain. */
  readonly remainingSpares: number;
  /** The model's share of the work at the time of the plan. */
  readonly demandShare: number;
}

/** A group that the hosts of one domain could form. */
type Candidate = Omit<Formation, "demandShare">;

/** Weights to be staged on a spare. */
export interface Staging {
  readonly host: string;
  readonly model: string;
  readonly loadPriority: number;
}

/** What to do with the free hosts. */
export interface Plan {
  readonly formations: readonly Formation[];
  readonly stagings: readonly Staging[];
}

/** State of the hosts and of the demand that a plan is made for. */
export interface PlanInput {
  readonly engine: EngineProfile;
  readonly freeHosts: readonly FreeHost[];
  /** Number of groups of each model, including those being formed. */
  readonly groupCounts: ReadonlyMap<string, number>;
  /** Models of the groups in each fabric domain, one for each group. */
  readonly modelsByDomain: ReadonlyMap<string, readonly string[]>;
  /** Current share of the work of each model. */
  readonly demandShares: ReadonlyMap<string, number>;
  /** Whether hosts are still being added, as after a start of all hosts. */
  readonly hasNewHosts: boolean;
  /**
   * Fabric domains in which a group is being checked or ended. Its members may
   * soon need a spare with its model, so no spare loads other weights.
   */
  readonly unsettledDomains: ReadonlySet<string>;
}

/** Spares load after the first four groups of each model. */
const STAGING_PRIORITY = 3.5;
/** Spares that a domain keeps when it forms an additional group. */
const MIN_SPARES_AFTER_NEW_GROUP = 1;

/** Plans formations by domain, the model with most work per group first. */
export function createPlan(input: PlanInput): Plan {
  const groupCounts = new Map(input.groupCounts);
  const modelsByDomain = new Map(
    [...input.modelsByDomain].map(([domain, models]) => [domain, [...models]]),
  );
  const hostsByDomain = groupByDomain(input.freeHosts);
  const formations: Formation[] = [];
  for (let isDone = false; !isDone;) {
    isDone = true;
    for (const [domain, hosts] of hostsByDomain) {
      const formation = chooseFormation(input, groupCounts, hosts);
      if (formation === undefined) {
        continue;
      }
      const { model, members } = formation;
      const demandShare = input.demandShares.get(model) ?? 0;
      formations.push({ ...formation, demandShare });
      groupCounts.set(model, (groupCounts.get(model) ?? 0) + 1);
      modelsByDomain.set(domain, [...modelsByDomain.get(domain) ?? [], model]);
      hostsByDomain.set(
        domain,
        hosts.filter(({ id }) => !members.includes(id)),
      );
      isDone = false;
    }
  }
  const stagings = [...hostsByDomain].flatMap(([domain, hosts]) =>
    planStagings(input.engine, modelsByDomain.get(domain) ?? [], hosts)
  );
  return { formations, stagings };
}

function groupByDomain(hosts: readonly FreeHost[]): Map<string, FreeHost[]> {
  const domains = new Map<string, FreeHost[]>();
  for (const host of hosts) {
    const others = domains.get(host.fabricDomain) ?? [];
    domains.set(host.fabricDomain, [...others, host]);
  }
  return domains;
}

/** Chooses the most needed group that the hosts can form, if any. */
function chooseFormation(
  input: PlanInput,
  groupCounts: ReadonlyMap<string, number>,
  hosts: readonly FreeHost[],
): Candidate | undefined {
  const candidates = input.engine.models
    .map((model) => ({
      model,
      workPerGroup: computeWorkPerGroup(model, input.demandShares, groupCounts),
      formation: chooseMembers(model, hosts, groupCounts.get(model.name) ?? 0),
    }))
    .sort((a, b) => b.workPerGroup - a.workPerGroup);
  const isUnsettled = input.unsettledDomains.has(hosts[0]?.fabricDomain ?? "");
  const eligible = candidates.filter(({ model, formation }) =>
    formation.members.length === model.hostCount &&
    (!isUnsettled || formation.membersToLoad.size === 0) &&
    (isRepair(model, formation, hosts) ||
      formation.remainingSpares >= MIN_SPARES_AFTER_NEW_GROUP)
  );
  const preferred =
    eligible.find(({ formation }) => formation.membersToLoad.size === 0) ??
      eligible.find(({ model, formation }) =>
        isRepair(model, formation, hosts)
      );
  if (preferred !== undefined) {
    return preferred.formation;
  }
  // Hosts added later may complete a group that is needed more.
  const isWaiting = eligible[0] !== candidates[0] &&
    (input.hasNewHosts || isMissingAtMostOneHost(candidates[0]!.model, hosts));
  return isWaiting ? undefined : eligible[0]?.formation;
}

/**
 * Whether at least half of the members were in a group of the model, and at
 * most half must load weights.
 */
function isRepair(
  { name, hostCount: size }: ModelProfile,
  { members, membersToLoad }: Candidate,
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
  model: ModelProfile,
  hosts: readonly FreeHost[],
): boolean {
  const hostsWithoutLoad = hosts.filter((host) =>
    getJoinCost(host, model.name) <= JoinCost.staging
  );
  return hostsWithoutLoad.length >= model.hostCount - 1;
}

/** Work for each group of a model if one more group is formed. */
function computeWorkPerGroup(
  model: ModelProfile,
  demandShares: ReadonlyMap<string, number>,
  groupCounts: ReadonlyMap<string, number>,
): number {
  const work = demandShares.get(model.name) ?? 0;
  const groups = (groupCounts.get(model.name) ?? 0) + 1;
  return work / groups;
}

/** Chooses the hosts that can join soonest; slow hosts come last. */
function chooseMembers(
  model: ModelProfile,
  hosts: readonly FreeHost[],
  loadPriority: number,
): Candidate {
  const chosen = [...hosts]
    .sort((a, b) =>
      Number(a.isSlow) - Number(b.isSlow) ||
      getJoinCost(a, model.name) - getJoinCost(b, model.name)
    )
    .slice(0, model.hostCount);
  const hostsToLoad = chosen.filter((host) =>
    getJoinCost(host, model.name) > JoinCost.staging
  );
  return {
    model: model.name,
    members: chosen.map(({ id }) => id),
    membersToLoad: new Set(hostsToLoad.map(({ id }) => id)),
    loadPriority,
    fabricDomain: hosts[0]?.fabricDomain ?? "",
    remainingSpares: hosts.length - chosen.length,
  };
}

/** Relative time until a host can serve a model; lower is sooner. */
const JoinCost = {
  modelInMemory: 0,
  staged: 1,
  staging: 2,
  empty: 3,
  otherModel: 4,
} as const;

function getJoinCost(
  { modelInMemory, staged, staging }: FreeHost,
  model: string,
): number {
  if (modelInMemory === model) {
    return JoinCost.modelInMemory;
  }
  if (staged.includes(model)) {
    return JoinCost.staged;
  }
  if (staging === model) {
    return JoinCost.staging;
  }
  const isEmpty = modelInMemory === undefined && staged.length === 0 &&
    staging === undefined;
  return isEmpty ? JoinCost.empty : JoinCost.otherModel;
}

function countWantedStaged(
  { staged }: FreeHost,
  wantedModels: readonly string[],
): number {
  return staged.filter((model) => wantedModels.includes(model)).length;
}

/**
 * Assigns the models of the groups in a domain to its spares in turn, the model
 * with most hosts first, as its groups lose members most often.
 */
function planStagings(
  engine: EngineProfile,
  groupModels: readonly string[],
  spares: readonly FreeHost[],
): Staging[] {
  const wantedModels = engine.models
    .filter(({ name }) => groupModels.includes(name))
    .sort((a, b) => b.hostCount - a.hostCount)
    .map(({ name }) => name);
  const unusedSpares = new Set(spares);
  const stagings: Staging[] = [];
  for (let turn = 0; wantedModels.length > 0 && unusedSpares.size > 0; turn++) {
    const model = wantedModels[turn % wantedModels.length]!;
    const stagedSpare = [...unusedSpares].find((spare) =>
      isStagedFor(spare, model)
    );
    const host = stagedSpare ?? findSpareToStage(unusedSpares, wantedModels);
    if (host === undefined) {
      break;
    }
    unusedSpares.delete(host);
    if (stagedSpare === undefined) {
      const loadPriority = STAGING_PRIORITY +
        Math.floor(turn / wantedModels.length);
      stagings.push({ host: host.id, model, loadPriority });
    }
  }
  return stagings;
}

function isStagedFor({ staged, staging }: FreeHost, model: string): boolean {
  return (staging ?? staged[0]) === model;
}

/** Finds a spare that is not staging and has fewest wanted models staged. */
function findSpareToStage(
  unusedSpares: ReadonlySet<FreeHost>,
  wantedModels: readonly string[],
): FreeHost | undefined {
  return [...unusedSpares]
    .filter(({ staging }) => staging === undefined)
    .sort((a, b) =>
      countWantedStaged(a, wantedModels) - countWantedStaged(b, wantedModels)
    )[0];
}
