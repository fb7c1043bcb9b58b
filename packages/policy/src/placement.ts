/**
 * Placement: which free hosts form the next group of a model.
 *
 * @module
 */
import type { Host, ModelRule } from "@zinniahill/schema";

/** Hosts that are to form a group, the lead first. */
export interface PlacedGroup {
  readonly hosts: readonly Host[];
  readonly fabricDomain: string;
  readonly dataCentre: string;
}

/** What a placement takes into account beside the free hosts. */
export interface PlacementContext {
  /** Group sizes of all models, to tell which leftovers stay usable. */
  readonly sizes: readonly number[];
  /** Groups of the same model by fabric domain. */
  readonly replicas: ReadonlyMap<string, number>;
}

interface Candidate {
  readonly fabricDomain: string;
  readonly hosts: readonly Host[];
  /** Criteria in order of weight; lower is better. */
  readonly cost: readonly number[];
}

/**
 * Chooses hosts for one more group inside one fabric domain: first where the
 * fewest hosts become stranded, then where the fewest replicas of the model
 * are, then where a spare remains, then the tightest fit.
 */
export function placeGroup(
  model: ModelRule,
  freeHosts: readonly Host[],
  context: PlacementContext = { sizes: [model.hosts], replicas: new Map() },
): PlacedGroup | undefined {
  const [best] = [...groupByDomain(freeHosts)]
    .filter(([, hosts]) => hosts.length >= model.hosts)
    .map(([domain, hosts]) => createCandidate(domain, hosts, model, context))
    .sort(compareCandidates);
  if (best === undefined) {
    return undefined;
  }
  const hosts = best.hosts
    .toSorted((a, b) => compareText(a.host, b.host))
    .slice(0, model.hosts);
  const { fabricDomain } = best;
  return { hosts, fabricDomain, dataCentre: hosts[0]!.dataCentre };
}

/** Counts the accelerators of free hosts that no further group can use. */
export function countStrandedAccelerators(
  freeHosts: readonly Host[],
  sizes: readonly number[],
): number {
  return [...groupByDomain(freeHosts).values()]
    .map((hosts) => {
      const stranded = countStrandedHosts(hosts.length, sizes);
      return hosts
        .map(({ accelerators }) => accelerators)
        .sort((a, b) => a - b)
        .slice(0, stranded)
        .reduce((sum, accelerators) => sum + accelerators, 0);
    })
    .reduce((sum, accelerators) => sum + accelerators, 0);
}

function createCandidate(
  fabricDomain: string,
  hosts: readonly Host[],
  model: ModelRule,
  { sizes, replicas }: PlacementContext,
): Candidate {
  const left = hosts.length - model.hosts;
  const added = countStrandedHosts(left, sizes) -
    countStrandedHosts(hosts.length, sizes);
  const lacksSpare = model.spares > 0 && left === 0 ? 1 : 0;
  const cost = [added, replicas.get(fabricDomain) ?? 0, lacksSpare, left];
  return { fabricDomain, hosts, cost };
}

function compareCandidates(a: Candidate, b: Candidate): number {
  const index = a.cost.findIndex((value, place) => value !== b.cost[place]);
  return index < 0
    ? compareText(a.fabricDomain, b.fabricDomain)
    : a.cost[index]! - b.cost[index]!;
}

/** Hosts of one domain that remain when groups fill it as far as possible. */
function countStrandedHosts(count: number, sizes: readonly number[]): number {
  const fills = [true];
  for (let filled = 1; filled <= count; filled++) {
    fills[filled] = sizes.some((size) =>
      size > 0 && size <= filled && fills[filled - size] === true
    );
  }
  return count - fills.lastIndexOf(true);
}

function groupByDomain(hosts: readonly Host[]): Map<string, Host[]> {
  const domains = new Map<string, Host[]>();
  for (const host of hosts) {
    const members = domains.get(host.fabricDomain) ?? [];
    domains.set(host.fabricDomain, [...members, host]);
  }
  return domains;
}

/** Compares by code units, so that every node sorts in the same way. */
export function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
