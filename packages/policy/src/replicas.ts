/**
 * How many groups of each model there are, and where the next ones form.
 *
 * Every lease holder computes the whole plan from the agreed state and takes
 * the part of its own data centre, so that two holders do not both make up for
 * one missing replica.
 *
 * @module
 */
import type { GroupState, Host, ModelRule } from "@zinniahill/schema";
import { compareText, type PlacedGroup, placeGroup } from "./placement.ts";

/** What the plan depends on; the same input gives the same plan. */
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

/** Groups that count as replicas: a replacement counts once it takes over. */
export function listReplicas(groups: readonly GroupState[]): GroupState[] {
  const active = groups.filter(({ phase }) =>
    phase !== "draining" && phase !== "retired"
  );
  const ids = new Set(active.map(({ group }) => group));
  return active.filter(({ replaces }) =>
    replaces === undefined || !ids.has(replaces)
  );
}

/** Chooses hosts for every replica that is missing and can be placed. */
export function planGroups(input: PlanInput): PlannedGroup[] {
  const planned: PlannedGroup[] = [];
  const free = new Map(input.freeHosts.map((host) => [host.host, host]));
  const replicas = listReplicas(input.groups);
  const sizes = input.models.map(({ hosts }) => hosts);
  const models = input.models.toSorted((a, b) => compareText(a.name, b.name));
  for (const model of models) {
    const places = replicas.filter((group) => group.model === model.name)
      .map(({ dataCentre, fabricDomain }) => ({ dataCentre, fabricDomain }));
    while (places.length < model.replicas) {
      const placed = placeReplica(model, places, [...free.values()], sizes);
      if (placed === undefined) {
        break;
      }
      planned.push({ model, placed });
      places.push(placed);
      placed.hosts.forEach(({ host }) => free.delete(host));
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
  const places = input.groups.filter(({ model: name }) => name === model.name);
  const sizes = input.models.map(({ hosts }) => hosts);
  const near = input.freeHosts.filter(({ dataCentre }) =>
    dataCentre === group.dataCentre
  );
  return placeReplica(model, places, near, sizes) ??
    placeReplica(model, places, input.freeHosts, sizes);
}

/** Groups beyond the replicas that the rules ask for, to be drained. */
export function listSurplusGroups(
  models: readonly ModelRule[],
  groups: readonly GroupState[],
): GroupState[] {
  const wanted = new Map(models.map(({ name, replicas }) => [name, replicas]));
  const replicas = listReplicas(groups);
  const names = [...new Set(replicas.map(({ model }) => model))];
  return names.flatMap((name) => {
    const members = replicas.filter(({ model }) => model === name);
    return chooseSurplus(members, members.length - (wanted.get(name) ?? 0));
  });
}

type Place = Pick<GroupState, "dataCentre" | "fabricDomain">;

/** Places one group in the data centre that has the fewest replicas. */
function placeReplica(
  model: ModelRule,
  places: readonly Place[],
  free: readonly Host[],
  sizes: readonly number[],
): PlacedGroup | undefined {
  const byDataCentre = countBy(places, ({ dataCentre }) => dataCentre);
  const replicas = countBy(places, ({ fabricDomain }) => fabricDomain);
  const dataCentres = [...new Set(free.map(({ dataCentre }) => dataCentre))]
    .sort((a, b) =>
      (byDataCentre.get(a) ?? 0) - (byDataCentre.get(b) ?? 0) ||
      compareText(a, b)
    );
  for (const dataCentre of dataCentres) {
    const hosts = free.filter((host) => host.dataCentre === dataCentre);
    const placed = placeGroup(model, hosts, { sizes, replicas });
    if (placed !== undefined) {
      return placed;
    }
  }
  return undefined;
}

/** Prefers groups that do not serve yet, then crowded data centres. */
function chooseSurplus(
  members: readonly GroupState[],
  count: number,
): GroupState[] {
  const remaining = [...members];
  const chosen: GroupState[] = [];
  while (chosen.length < count) {
    const byDataCentre = countBy(remaining, ({ dataCentre }) => dataCentre);
    const rank = (group: GroupState) => group.phase === "ready" ? 1 : 0;
    remaining.sort((a, b) =>
      rank(a) - rank(b) ||
      byDataCentre.get(b.dataCentre)! - byDataCentre.get(a.dataCentre)! ||
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
