/**
 * Number of groups of each model, and the hosts of the next ones.
 *
 * Every lease holder computes the whole plan from the agreed state and carries
 * out the part of its own data centre, so that two holders do not both
 * replace one missing replica.
 *
 * @module
 */
import type { GroupState, Host, ModelRule } from "@zinniahill/schema";
import { compareText, type PlacedGroup, placeGroup } from "./placement.ts";

/** Input of a plan; the same input gives the same plan. */
export interface PlanInput {
  readonly models: readonly ModelRule[];
  readonly groups: readonly GroupState[];
  /** Hosts of all data centres that a new group may use. */
  readonly freeHosts: readonly Host[];
}

/** A group that is to be formed. */
export interface PlannedGroup {
  readonly model: ModelRule;
  readonly placed: PlacedGroup;
}

/** Groups that count as replicas; replacements count once they take over. */
export function listReplicas(groups: readonly GroupState[]): GroupState[] {
  const active = groups.filter(({ phase }) =>
    phase !== "draining" && phase !== "retired"
  );
  const ids = new Set(active.map(({ group }) => group));
  return active.filter(({ replaces }) =>
    replaces === undefined || !ids.has(replaces)
  );
}

/** Chooses hosts for every missing replica that can be placed. */
export function planGroups(input: PlanInput): PlannedGroup[] {
  const planned: PlannedGroup[] = [];
  const freeHosts = new Map(input.freeHosts.map((host) => [host.host, host]));
  const replicas = listReplicas(input.groups);
  const groupSizes = input.models.map(({ hosts }) => hosts);
  const models = input.models.toSorted((a, b) => compareText(a.name, b.name));
  for (const model of models) {
    const locations = replicas.filter((group) => group.model === model.name)
      .map(({ dataCentre, fabricDomain }) => ({ dataCentre, fabricDomain }));
    while (locations.length < model.replicas) {
      const placed = placeReplica(
        model,
        locations,
        [...freeHosts.values()],
        groupSizes,
      );
      if (placed === undefined) {
        break;
      }
      planned.push({ model, placed });
      locations.push(placed);
      placed.hosts.forEach(({ host }) => freeHosts.delete(host));
    }
  }
  return planned;
}

/** Chooses hosts for a replacement, in the group's own data centre first. */
export function placeReplacement(
  model: ModelRule,
  group: GroupState,
  input: PlanInput,
): PlacedGroup | undefined {
  const locations = input.groups.filter(({ model: name }) =>
    name === model.name
  );
  const groupSizes = input.models.map(({ hosts }) => hosts);
  const nearbyHosts = input.freeHosts.filter(({ dataCentre }) =>
    dataCentre === group.dataCentre
  );
  return placeReplica(model, locations, nearbyHosts, groupSizes) ??
    placeReplica(model, locations, input.freeHosts, groupSizes);
}

/** Returns the groups to drain, beyond the replicas that the rules ask for. */
export function listSurplusGroups(
  models: readonly ModelRule[],
  groups: readonly GroupState[],
): GroupState[] {
  const targetCounts = new Map(
    models.map(({ name, replicas }) => [name, replicas]),
  );
  const replicas = listReplicas(groups);
  const modelNames = [...new Set(replicas.map(({ model }) => model))];
  return modelNames.flatMap((name) => {
    const modelGroups = replicas.filter(({ model }) => model === name);
    return chooseSurplus(
      modelGroups,
      modelGroups.length - (targetCounts.get(name) ?? 0),
    );
  });
}

type Location = Pick<GroupState, "dataCentre" | "fabricDomain">;

/** Places one group in the data centre that has the fewest replicas. */
function placeReplica(
  model: ModelRule,
  locations: readonly Location[],
  freeHosts: readonly Host[],
  groupSizes: readonly number[],
): PlacedGroup | undefined {
  const countsByDataCentre = countBy(locations, ({ dataCentre }) => dataCentre);
  const replicaCounts = countBy(locations, ({ fabricDomain }) => fabricDomain);
  const dataCentres = [
    ...new Set(freeHosts.map(({ dataCentre }) => dataCentre)),
  ]
    .sort((a, b) =>
      (countsByDataCentre.get(a) ?? 0) - (countsByDataCentre.get(b) ?? 0) ||
      compareText(a, b)
    );
  for (const dataCentre of dataCentres) {
    const hosts = freeHosts.filter((host) => host.dataCentre === dataCentre);
    const placed = placeGroup(model, hosts, { groupSizes, replicaCounts });
    if (placed !== undefined) {
      return placed;
    }
  }
  return undefined;
}

/** Prefers groups that do not serve yet, then the fullest data centres. */
function chooseSurplus(
  modelGroups: readonly GroupState[],
  count: number,
): GroupState[] {
  const remaining = [...modelGroups];
  const chosen: GroupState[] = [];
  while (chosen.length < count) {
    const countsByDataCentre = countBy(
      remaining,
      ({ dataCentre }) => dataCentre,
    );
    const readiness = (group: GroupState) => group.phase === "ready" ? 1 : 0;
    remaining.sort((a, b) =>
      readiness(a) - readiness(b) ||
      countsByDataCentre.get(b.dataCentre)! -
        countsByDataCentre.get(a.dataCentre)! ||
      compareText(a.group, b.group)
    );
    chosen.push(remaining.shift()!);
  }
  return chosen;
}

function countBy<Item>(
  items: readonly Item[],
  key: (item: Item) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(key(item), (counts.get(key(item)) ?? 0) + 1);
  }
  return counts;
}
