/**
 * Decides which nodes a lookup names to a caller of one data centre.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/** A serving node. */
export interface ListedNode {
  readonly dataCentre: string;
  /** Share of a core that is free for callers. */
  readonly capacity: number;
}

/** With as many, callers that lose one still have a choice. */
const MIN_NODES = 3;
/**
 * A data centre lacks capacity below this share of the mean of all. Below one,
 * as data centres differ in their hosts also when none is overloaded.
 */
const MIN_CAPACITY_SHARE = 0.75;

/**
 * Returns the nodes of the caller's data centre, then as many others as it
 * needs. Callers spread evenly over the result, so the number of others is in
 * proportion to the capacity that is missing. All nodes are returned if the data
 * centre has none.
 */
export function preferLocalNodes<Node extends ListedNode>(
  nodes: readonly Node[],
  dataCentre: string,
  random: Random,
): Node[] {
  const local = nodes.filter((node) => node.dataCentre === dataCentre);
  if (local.length === 0) {
    return [...nodes];
  }
  const others = shuffle(
    nodes.filter((node) => node.dataCentre !== dataCentre),
    random,
  );
  const missing = Math.max(
    MIN_NODES - local.length,
    countMissing(nodes, local, random),
  );
  return [...local, ...others.slice(0, missing)];
}

/**
 * The number of other nodes that make up for missing capacity. What remains
 * after the loss of the largest node counts.
 */
function countMissing(
  nodes: readonly ListedNode[],
  local: readonly ListedNode[],
  random: Random,
): number {
  const dataCentres = new Set(nodes.map(({ dataCentre }) => dataCentre)).size;
  const needed = MIN_CAPACITY_SHARE * sumCapacity(nodes) / dataCentres;
  const largest = Math.max(...local.map(({ capacity }) => capacity));
  const available = sumCapacity(local) - largest;
  if (available >= needed) {
    return 0;
  }
  const missingShare = Math.min(1, (needed - available) / needed);
  if (missingShare === 1) {
    return nodes.length;
  }
  const missing = local.length * missingShare / (1 - missingShare);
  return Math.floor(missing + random.fraction());
}

function sumCapacity(nodes: readonly ListedNode[]): number {
  return nodes.reduce((sum, { capacity }) => sum + capacity, 0);
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last--) {
    const index = random.below(last + 1);
    [shuffled[last], shuffled[index]] = [shuffled[index]!, shuffled[last]!];
  }
  return shuffled;
}
