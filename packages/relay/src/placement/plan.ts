/**
 * Which free hosts form which groups, and what spares keep staged.
 *
 * @module
 */
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";

/** A host that belongs to no living group. */
export interface FreeHost {
  readonly id: string;
  readonly fabricDomain: string;
  /** The model of its last group, which it joins again soonest. */
  readonly modelInMemory: string | undefined;
  readonly staged: readonly string[];
  /** The model that is being staged now. */
  readonly staging: string | undefined;
  /** Whether its engine was seen to be much slower than its profile. */
  readonly isSlow: boolean;
}

/** A group to be formed; the first member leads. */
export interface Formation {
  readonly model: string;
  readonly members: readonly string[];
  /** Members whose weights must be loaded. */
  readonly membersToLoad: ReadonlySet<string>;
  /** Groups of the model before this one; its loads wait for theirs. */
  readonly loadPriority: number;
  readonly fabricDomain: string;
  /** Free hosts of the domain that the group leaves. */
  readonly remainingSpares: number;
  /** The model's share of the work that the choice was based on. */
  readonly demandShare: number;
}

/** A group that the hosts of one domain could form. */
type Candidate = Omit<Formation, "demandShare">;

/** Weights to be loaded onto a spare's host. */
export interface Staging {
  readonly host: string;
  readonly model: string;
  readonly loadPriority: number;
}

/** What is to be done with the free hosts. */
export interface Plan {
  readonly formations: readonly Formation[];
  readonly stagings: readonly Staging[];
}

/** What a plan is based on. */
export interface PlanInput {
  readonly engine: EngineProfile;
  readonly free: readonly FreeHost[];
  /** Groups of each model that stand or are being formed. */
  readonly groupCounts: ReadonlyMap<string, number>;
  /** Models of the groups that stand in each fabric domain. */
  readonly domainModels: ReadonlyMap<string, readonly string[]>;
  /** Share of the work of each model, as it is now. */
  readonly demandShares: ReadonlyMap<string, number>;
  /** Whether more hosts are just coming, as after the start of everything. */
  readonly hasNewHosts: boolean;
  /**
   * Fabric domains in which a group is being checked or ended. Its members soon
   * need a spare with its model, so no spare is given other weights.
   */
  readonly unsettledDomains: ReadonlySet<string>;
}

/** Loads of spares come after the first four groups of each model. */
const STAGING_PRIORITY = 3.5;
/** Spares that a domain keeps when a group is formed that it did not have. */
const MIN_SPARES_OF_NEW = 1;

/** Plans formations domain by domain, the neediest model first. */
export function createPlan(basis: PlanInput): Plan {
  const counts = new Map(basis.groupCounts);
  const domainModels = new Map(
    [...basis.domainModels].map(([domain, models]) => [domain, [...models]]),
  );
  const free = groupByDomain(basis.free);
  const formations: Formation[] = [];
  for (let isDone = false; !isDone;) {
    isDone = true;
    for (const [domain, hosts] of free) {
      const formation = formGroup(basis, counts, hosts);
      if (formation === undefined) {
        continue;
      }
      const { model, members } = formation;
      const demandShare = basis.demandShares.get(model) ?? 0;
      formations.push({ ...formation, demandShare });
      counts.set(model, (counts.get(model) ?? 0) + 1);
      domainModels.set(domain, [...domainModels.get(domain) ?? [], model]);
      free.set(domain, hosts.filter(({ id }) => !members.includes(id)));
      isDone = false;
    }
  }
  const stagings = [...free].flatMap(([domain, hosts]) =>
    planStagings(basis.engine, domainModels.get(domain) ?? [], hosts)
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

/** The group that is most wanted of those that the hosts can form. */
function formGroup(
  basis: PlanInput,
  counts: ReadonlyMap<string, number>,
  hosts: readonly FreeHost[],
): Candidate | undefined {
  const options = basis.engine.models
    .map((model) => ({
      model,
      need: computeNeed(model, basis.demandShares, counts),
      formation: chooseMembers(model, hosts, counts.get(model.name) ?? 0),
    }))
    .sort((a, b) => b.need - a.need);
  const isUnsettled = basis.unsettledDomains.has(hosts[0]?.fabricDomain ?? "");
  const formable = options.filter(({ model, formation }) =>
    formation.members.length === model.hostCount &&
    (!isUnsettled || formation.membersToLoad.size === 0) &&
    (isRepair(model, formation, hosts) ||
      formation.remainingSpares >= MIN_SPARES_OF_NEW)
  );
  const soonest =
    formable.find(({ formation }) => formation.membersToLoad.size === 0) ??
      formable.find(({ model, formation }) =>
        isRepair(model, formation, hosts)
      );
  if (soonest !== undefined) {
    return soonest.formation;
  }
  // Hosts that are still to come may complete a group that is needed more.
  const isWaiting = formable[0] !== options[0] &&
    (basis.hasNewHosts || isAlmostWhole(options[0]!.model, hosts));
  return isWaiting ? undefined : formable[0]?.formation;
}

/** Whether most members were in a group of the model and keep its weights. */
function isRepair(
  { name, hostCount: size }: ModelProfile,
  { members, membersToLoad }: Candidate,
  hosts: readonly FreeHost[],
): boolean {
  const kept = hosts.filter(({ id, modelInMemory }) =>
    modelInMemory === name && members.includes(id)
  );
  return membersToLoad.size * 2 <= size && kept.length * 2 >= size;
}

/** Whether the hosts of a group that lost one member wait for another host. */
function isAlmostWhole(
  model: ModelProfile,
  hosts: readonly FreeHost[],
): boolean {
  const warm = hosts.filter((host) =>
    rankHost(host, model.name) <= HostRank.staging
  );
  return warm.length >= model.hostCount - 1;
}

/** Work for each group of a model, with one more group. */
function computeNeed(
  model: ModelProfile,
  demand: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): number {
  const work = demand.get(model.name) ?? 0;
  const groups = (counts.get(model.name) ?? 0) + 1;
  return work / groups;
}

/** Takes the hosts that can join soonest. */
function chooseMembers(
  model: ModelProfile,
  hosts: readonly FreeHost[],
  loadPriority: number,
): Candidate {
  const chosen = [...hosts]
    .sort((a, b) =>
      Number(a.isSlow) - Number(b.isSlow) ||
      rankHost(a, model.name) - rankHost(b, model.name)
    )
    .slice(0, model.hostCount);
  const loads = chosen.filter((host) =>
    rankHost(host, model.name) > HostRank.staging
  );
  return {
    model: model.name,
    members: chosen.map(({ id }) => id),
    membersToLoad: new Set(loads.map(({ id }) => id)),
    loadPriority,
    fabricDomain: hosts[0]?.fabricDomain ?? "",
    remainingSpares: hosts.length - chosen.length,
  };
}

/** How soon a host can serve a model, soonest first. */
const HostRank = {
  modelInMemory: 0,
  staged: 1,
  staging: 2,
  empty: 3,
  otherModel: 4,
} as const;

function rankHost(
  { modelInMemory, staged, staging }: FreeHost,
  model: string,
): number {
  if (modelInMemory === model) {
    return HostRank.modelInMemory;
  }
  if (staged.includes(model)) {
    return HostRank.staged;
  }
  if (staging === model) {
    return HostRank.staging;
  }
  const isEmpty = modelInMemory === undefined && staged.length === 0 &&
    staging === undefined;
  return isEmpty ? HostRank.empty : HostRank.otherModel;
}

function countHeld({ staged }: FreeHost, wanted: readonly string[]): number {
  return staged.filter((model) => wanted.includes(model)).length;
}

/**
 * Spares of a domain stage the models of its groups in turn, the largest group
 * first, as it loses a member most often.
 */
function planStagings(
  engine: EngineProfile,
  domainModels: readonly string[],
  spares: readonly FreeHost[],
): Staging[] {
  const wanted = engine.models
    .filter(({ name }) => domainModels.includes(name))
    .sort((a, b) => b.hostCount - a.hostCount)
    .map(({ name }) => name);
  const unused = new Set(spares);
  const stagings: Staging[] = [];
  for (let turn = 0; wanted.length > 0 && unused.size > 0; turn++) {
    const model = wanted[turn % wanted.length]!;
    const holder = [...unused].find((spare) => holdsModel(spare, model));
    const host = holder ?? findSpareToStage(unused, wanted);
    if (host === undefined) {
      break;
    }
    unused.delete(host);
    if (holder === undefined) {
      const loadPriority = STAGING_PRIORITY + Math.floor(turn / wanted.length);
      stagings.push({ host: host.id, model, loadPriority });
    }
  }
  return stagings;
}

function holdsModel({ staged, staging }: FreeHost, model: string): boolean {
  return (staging ?? staged[0]) === model;
}

/** A spare that holds no wanted model goes first. */
function findSpareToStage(
  unused: ReadonlySet<FreeHost>,
  wanted: readonly string[],
): FreeHost | undefined {
  return [...unused]
    .filter(({ staging }) => staging === undefined)
    .sort((a, b) => countHeld(a, wanted) - countHeld(b, wanted))[0];
}
