/**
 * Choice of the peers that a node connects to when there are many nodes.
 *
 * @module
 */

/** Peers for one connection: the preferred one, then its replacements. */
export type PeerSlot = readonly string[];

/** Hashes a name to a number that is the same on every node. */
export type NameHash = (name: string) => number;

/**
 * Plans a node's connections. Up to the limit, it dials every other node.
 * Beyond the limit, the nodes form a ring in the order of their hashes, and
 * each one dials half the limit, at distances that grow geometrically; the
 * other half are nodes that dial it. Distance 1 keeps the graph connected; the
 * others make it robust and its paths short. When the preferred peer of a slot
 * cannot be reached, the slot continues along the ring.
 */
export function planPeerSlots(
  ownNode: string,
  nodes: readonly string[],
  limit: number,
  hash: NameHash,
): PeerSlot[] {
  const others = [...new Set(nodes)].filter((name) => name !== ownNode);
  if (others.length <= limit) {
    return others.map((name) => [name]);
  }
  const ring = [ownNode, ...others]
    .map((name) => ({ name, position: hash(name) }))
    .sort((a, b) => a.position - b.position || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
  const ownIndex = ring.indexOf(ownNode);
  const successors = [...ring.slice(ownIndex + 1), ...ring.slice(0, ownIndex)];
  return computeDistances(ring.length, Math.max(1, Math.floor(limit / 2)))
    .map((distance) => [
      ...successors.slice(distance - 1),
      ...successors.slice(0, distance - 1),
    ]);
}

function computeDistances(ringSize: number, count: number): number[] {
  const distances: number[] = [];
  for (let index = 0; index < count; index++) {
    const ideal = Math.round(ringSize ** (index / count));
    distances.push(Math.max(ideal, (distances.at(-1) ?? 0) + 1));
  }
  return distances;
}
