/**
 * Placement: the choice of free hosts for the next group of a model.
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

/** What a placement depends on besides the free hosts. */
export interface PlacementContext {
  /** Group sizes of all models; they decide which hosts stay usable. */
  readonly groupSizes: readonly number[];
  /** Number of groups of the same model, by fabric domain. */
  readonly replicaCounts: ReadonlyMap<string, number>;
}

interface Candidate {
  readonly fabricDomain: string;
  readonly hosts: readonly Host[];
  /** Criteria in order of priority; lower is better. */
  readonly cost: readonly number[];
}

/**
 * Chooses hosts for one more group within one fabric domain: first where the
 * fewest hosts become stranded, then where the model has the fewest replicas,
 * then where a spare remains, then where the fewest hosts are left.
 */
export function placeGroup(
  model: ModelRule,
  freeHosts: readonly Host[],
  context: PlacementContext = {
    groupSizes: [model.hosts],
    replicaCounts: new Map(),
  },
): PlacedGroup | undefined {
  const [best] = [...groupByFabricDomain(freeHosts)]
    .filter(([, hosts]) => hosts.length >= model.hosts)
    .map(([fabricDomain, hosts]) =>
      createCandidate(fabricDomain, hosts, model, context)
    )
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
  groupSizes: readonly number[],
): number {
  return [...groupByFabricDomain(freeHosts).values()]
    .map((hosts) => {
      const stranded = countStrandedHosts(hosts.length, groupSizes);
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
  { groupSizes, replicaCounts }: PlacementContext,
): Candidate {
  const remaining = hosts.length - model.hosts;
  const newlyStranded = countStrandedHosts(remaining, groupSizes) -
    countStrandedHosts(hosts.length, groupSizes);
  const lacksSpare = model.spares > 0 && remaining === 0 ? 1 : 0;
  const cost = [
    newlyStranded,
    replicaCounts.get(fabricDomain) ?? 0,
    lacksSpare,
    remaining,
  ];
  return { fabricDomain, hosts, cost };
}

function compareCandidates(a: Candidate, b: Candidate): number {
  const index = a.cost.findIndex((value, position) =>
    value !== b.cost[position]
  );
  return index < 0
    ? compareText(a.fabricDomain, b.fabricDomain)
    : a.cost[index]! - b.cost[index]!;
}

/** Counts the hosts that the best mix of groups leaves over. */
function countStrandedHosts(
  count: number,
  groupSizes: readonly number[],
): number {
  const canFill = [true];
  for (let filled = 1; filled <= count; filled++) {
    canFill[filled] = groupSizes.some((size) =>
      size > 0 && size <= filled && canFill[filled - size] === true
    );
  }
  return count - canFill.lastIndexOf(true);
}

function groupByFabricDomain(hosts: readonly Host[]): Map<string, Host[]> {
  const hostsByFabricDomain = new Map<string, Host[]>();
  for (const host of hosts) {
    const grouped = hostsByFabricDomain.get(host.fabricDomain) ?? [];
    hostsByFabricDomain.set(host.fabricDomain, [...grouped, host]);
  }
  return hostsByFabricDomain;
}

/** Compares by code units, so that every node sorts the same way. */
export function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
