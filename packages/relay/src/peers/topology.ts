/**
 * Decides which nodes a node connects to.
 *
 * Up to `MAX_FULL_MESH_NODES`, all nodes are connected with each other. With
 * more nodes, the messages that each one receives would grow with their number.
 * Then each data centre has hubs that are connected with all other hubs, and
 * each other node, a spoke, is connected with one hub of its data centre, which
 * forwards messages. A hub sends each spoke the heartbeats of all nodes, so the
 * strongest hosts are hubs.
 *
 * @module
 */
import { hashName } from "@zinniahill/clients";
import type {
  HostResources,
  NodeEntry,
  TopologyRole,
} from "../model/peer-message.ts";

/** The connections of one node. */
export interface Topology {
  readonly role: TopologyRole;
  /** Names of the nodes that this node connects to. */
  readonly targets: ReadonlySet<string>;
}

/** Above this, a full mesh takes more of a node than its requests do. */
const MAX_FULL_MESH_NODES = 16;
/** Limits the messages that a hub handles. */
const MAX_NODES_PER_HUB = 24;
/** What a strong hub takes rather than share its spokes with a weak one. */
const MAX_NODES_PER_STRONG_HUB = 48;
/**
 * A host with less than this share of the best cores or link of its data centre
 * is a hub only if no stronger one is left. On hosts of 0.227 core and
 * 10 Mbit/s, hubs with 24 spokes fell seconds behind.
 */
const MIN_HUB_RESOURCES = 0.5;

/** Whether a node is likely to accept a connection. */
export type UsabilityTest = (name: string) => boolean;

/**
 * Plans the connections of `own`. All nodes rank the nodes of a data centre in
 * the same order; the first usable ones are its hubs. So if a hub fails, its
 * spokes meet at the next node in the order.
 */
export function planTopology(
  own: NodeEntry,
  others: readonly NodeEntry[],
  isUsable: UsabilityTest,
): Topology {
  if (others.length < MAX_FULL_MESH_NODES) {
    // Of two nodes, the one whose name sorts first connects.
    const targets = others.map(({ name }) => name)
      .filter((name) => own.name < name);
    return { role: "peer", targets: new Set(targets) };
  }
  const isOwnOrUsable = (name: string) => name === own.name || isUsable(name);
  const dataCentres = groupByDataCentre([own, ...others]);
  const hubs = new Map(
    [...dataCentres].map(([dataCentre, entries]) => [
      dataCentre,
      chooseHubs(entries, isOwnOrUsable),
    ]),
  );
  const localHubs = hubs.get(own.dataCentre)!;
  if (localHubs.includes(own.name)) {
    const targets = [...hubs.values()].flat()
      .filter((name) => name !== own.name);
    return { role: "hub", targets: new Set(targets) };
  }
  const index = hashName(own.name) % localHubs.length;
  return { role: "spoke", targets: new Set([localHubs[index]!]) };
}

function groupByDataCentre(
  entries: readonly NodeEntry[],
): Map<string, NodeEntry[]> {
  const groups = new Map<string, NodeEntry[]>();
  for (const entry of entries) {
    groups.set(entry.dataCentre, [
      ...groups.get(entry.dataCentre) ?? [],
      entry,
    ]);
  }
  return groups;
}

function chooseHubs(
  entries: readonly NodeEntry[],
  isUsable: UsabilityTest,
): string[] {
  const best = findBestResources(entries);
  const ranks = new Map(entries.map(({ name }) => [name, hashName(name)]));
  const usable = entries.filter(({ name }) => isUsable(name))
    .sort((a, b) =>
      ranks.get(a.name)! - ranks.get(b.name)! || (a.name < b.name ? -1 : 1)
    );
  const strong = usable.filter((entry) => isStrong(entry, best));
  const weak = usable.filter((entry) => !isStrong(entry, best));
  const count = strong.length * MAX_NODES_PER_STRONG_HUB >= entries.length
    ? Math.min(strong.length, countHubs(entries))
    : countHubs(entries);
  return [...strong, ...weak].slice(0, count).map(({ name }) => name);
}

function countHubs(entries: readonly NodeEntry[]): number {
  return Math.ceil(entries.length / MAX_NODES_PER_HUB);
}

/** The best of each resource, of any host. */
function findBestResources(entries: readonly NodeEntry[]): HostResources {
  const known = entries.flatMap(({ resources }) => resources ?? []);
  return {
    cores: Math.max(0, ...known.map(({ cores }) => cores)),
    linkMbps: Math.max(0, ...known.map(({ linkMbps }) => linkMbps)),
  };
}

/** Hosts that do not name their resources count as strong. */
function isStrong({ resources }: NodeEntry, best: HostResources): boolean {
  return resources === undefined ||
    resources.cores >= best.cores * MIN_HUB_RESOURCES &&
      resources.linkMbps >= best.linkMbps * MIN_HUB_RESOURCES;
}
