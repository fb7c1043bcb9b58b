/**
 * Selects among the upstreams of which a node has a share.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/** An upstream of which a node has a share. */
export interface Home {
  /** Part of the upstream's slots, from 0 to 1. */
  readonly share: number;
  /** Requests that this node has in progress there. */
  readonly ownCount: number;
  /** Requests of all nodes there, by their last reports. */
  readonly count: number;
}

/**
 * Reported requests at which a home counts as full although this node's share
 * is not used up. Counts vary by a few requests around the limit, and a check
 * at the limit itself leaves slots unused.
 */
const MAX_FILL_FACTOR = 1.1;

/**
 * Returns the index of the home with the largest unused part of the node's
 * share of `limit` requests; undefined if all shares are used up. The fraction
 * of a share is rounded up or down at random, so that the shares of all nodes
 * still add up to the limit.
 */
export function selectHome(
  homes: readonly Home[],
  limit: number,
  random: Random,
): number | undefined {
  let selected: number | undefined;
  let maxUnusedPart = 0;
  for (const [index, { share, ownCount, count }] of homes.entries()) {
    const quota = share * limit;
    const unused = quota - ownCount;
    const isOpen = count < limit * MAX_FILL_FACTOR &&
      (unused >= 1 || random.fraction() < unused);
    if (isOpen && unused / quota > maxUnusedPart) {
      selected = index;
      maxUnusedPart = unused / quota;
    }
  }
  return selected;
}
