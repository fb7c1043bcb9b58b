/**
 * Which nodes a node connects to when there are too many to reach them all.
 *
 * @module
 */

/** One connection that a node keeps: its preferred peer, then replacements. */
export type PeerSlot = readonly string[];

/** Hashes a name to a number that is the same on every node. */
export type NameHash = (name: string) => number;

/**
 * Plans a node's connections. While all nodes fit in the limit, each one is
 * dialled. Beyond it, nodes form a ring in the order of their hashes, and each
 * node dials half the limit, at distances that grow geometrically; the other
 * half comes from nodes that dial it. Distance 1 keeps the graph connected, the
 * others make it robust and its paths short. A slot continues along the ring
 * when its preferred peer cannot be reached.
 */
export function planPeerSlots(
  own: string,
  all: readonly string[],
  limit: number,
  hash: NameHash,
): PeerSlot[] {
  const others = [...new Set(all)].filter((name) => name !== own);
  if (others.length <= limit) {
    return others.map((name) => [name]);
  }
  const ring = [own, ...others]
    .map((name) => ({ name, position: hash(name) }))
    .sort((a, b) => a.position - b.position || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
  const at = ring.indexOf(own);
  const successors = [...ring.slice(at + 1), ...ring.slice(0, at)];
  return computeDistances(ring.length, Math.max(1, Math.floor(limit / 2)))
    .map((distance) => [
      ...successors.slice(distance - 1),
      ...successors.slice(0, distance - 1),
    ]);
}

function computeDistances(size: number, count: number): number[] {
  const distances: number[] = [];
  for (let index = 0; index < count; index++) {
    const ideal = Math.round(size ** (index / count));
    distances.push(Math.max(ideal, (distances.at(-1) ?? 0) + 1));
  }
  return distances;
}
