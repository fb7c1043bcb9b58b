/**
 * Choice of the node that a caller is directed to.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/** A node that callers may be directed to. */
export interface EntryNode {
  readonly address: string;
  readonly dataCentre: string;
  /** Requests in flight as a share of the node's capacity. */
  readonly load: number;
}

/**
 * Least weight of a node. Load reports are some seconds old, so a node that
 * reported full load still receives a few callers.
 */
const MIN_WEIGHT = 0.05;

/**
 * Chooses a node at random, in proportion to its free capacity. Only nodes of
 * the caller's data centre are considered while one of them has free capacity.
 */
export function chooseEntryNode(
  candidates: readonly EntryNode[],
  dataCentre: string | undefined,
  random: Random,
): EntryNode | undefined {
  const nearby = candidates.filter((node) => node.dataCentre === dataCentre);
  const hasCapacity = nearby.some(({ load }) => load < 1);
  return chooseWeighted(hasCapacity ? nearby : candidates, random);
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
