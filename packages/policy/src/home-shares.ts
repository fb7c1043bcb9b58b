/**
 * Division of upstreams among nodes, so that each node can fill its part by
 * its own exact count.
 *
 * @module
 */
import type { NameHash } from "./peer-choice.ts";

/** A node that sends requests. */
export interface HomeNode {
  readonly name: string;
  /** Relative number of requests that it is expected to receive. */
  readonly weight: number;
}

/** A node's share of one upstream. */
export interface HomeShare {
  readonly upstream: string;
  /** Part of the upstream's slots, from 0 to 1. */
  readonly share: number;
}

/** Shares below this one would only be rounding errors. */
const MIN_SHARE = 1e-6;

/**
 * Returns the upstreams that `own` sends its requests to first. Nodes and
 * upstreams are each put in an order that all nodes derive alike. The upstreams
 * then form one line, which is cut into one section for each node, in
 * proportion to the weights. So the shares of an upstream add up to one, and a
 * node has few homes.
 */
export function computeHomeShares(
  own: string,
  nodes: readonly HomeNode[],
  upstreams: readonly string[],
  hash: NameHash,
): HomeShare[] {
  const totalWeight = nodes.reduce((sum, { weight }) => sum + weight, 0);
  const ownWeight = nodes.find(({ name }) => name === own)?.weight ?? 0;
  if (ownWeight === 0) {
    return [];
  }
  const scale = upstreams.length / totalWeight;
  const precedes = createOrder(hash);
  const start = scale * nodes.reduce(
    (sum, { name, weight }) =>
      name !== own && precedes(name, own) < 0 ? sum + weight : sum,
    0,
  );
  const end = start + scale * ownWeight;
  const ordered = [...upstreams].sort(precedes);
  const shares: HomeShare[] = [];
  for (let index = Math.floor(start); index < end; index++) {
    const share = Math.min(end, index + 1) - Math.max(start, index);
    const upstream = ordered[index];
    if (upstream !== undefined && share > MIN_SHARE) {
      shares.push({ upstream, share });
    }
  }
  return shares;
}

function createOrder(hash: NameHash): (a: string, b: string) => number {
  const hashes = new Map<string, number>();
  const hashOnce = (name: string) => {
    const known = hashes.get(name) ?? hash(name);
    hashes.set(name, known);
    return known;
  };
  return (a, b) => hashOnce(a) - hashOnce(b) || (a < b ? -1 : Number(a > b));
}
