/**
 * Which node a caller is told to use.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/** A node that callers may be sent to. */
export interface EntryNode {
  readonly address: string;
  readonly dataCentre: string;
  /** Requests in flight as a share of the node's capacity. */
  readonly load: number;
}

/**
 * Least weight of a node. Reports of load are some seconds old, so a node that
 * reported a full load still gets a few callers.
 */
const MIN_WEIGHT = 0.05;

/**
 * Chooses at random, in proportion to the capacity that is left. Nodes of the
 * caller's data centre come first as long as one of them has capacity left.
 */
export function chooseEntryNode(
  candidates: readonly EntryNode[],
  dataCentre: string | undefined,
  random: Random,
): EntryNode | undefined {
  const near = candidates.filter((entry) => entry.dataCentre === dataCentre);
  const hasRoom = near.some(({ load }) => load < 1);
  return chooseWeighted(hasRoom ? near : candidates, random);
}

function chooseWeighted(
  candidates: readonly EntryNode[],
  random: Random,
): EntryNode | undefined {
  const weights = candidates.map(({ load }) => Math.max(1 - load, MIN_WEIGHT));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random.fraction() * total;
  for (const [index, candidate] of candidates.entries()) {
    remaining -= weights[index]!;
    if (remaining < 0) {
      return candidate;
    }
  }
  return candidates.at(-1);
}
