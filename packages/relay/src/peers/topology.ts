/**
 * Decides which nodes a node connects to.
 *
 * Up to `MAX_FULL_MESH_NODES`, all nodes are connected with each other. With
 * more nodes, the messages that each one receives would grow with their number.
 * Then each data centre has hubs that are connected with all other hubs, and
 * each other node, a spoke, is connected with one hub of its data centre, which
 * forwards messages.
 *
 * @module
 */
import { hashName } from "@zinniahill/clients";
import type { NodeEntry, TopologyRole } from "../model/peer-message.ts";

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
    [...dataCentres].map(([dataCentre, names]) => [
      dataCentre,
      chooseHubs(names, isOwnOrUsable),
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
): Map<string, string[]> {
  const names = new Map<string, string[]>();
  for (const { name, dataCentre } of entries) {
    names.set(dataCentre, [...names.get(dataCentre) ?? [], name]);
  }
  return names;
}

function chooseHubs(
  names: readonly string[],
  isUsable: UsabilityTest,
): string[] {
  const count = Math.ceil(names.length / MAX_NODES_PER_HUB);
  const ranks = new Map(names.map((name) => [name, hashName(name)]));
  return names.filter(isUsable)
    .sort((a, b) => ranks.get(a)! - ranks.get(b)! || (a < b ? -1 : 1))
    .slice(0, count);
}
