/**
 * How often lookups list a node.
 *
 * @module
 */

/**
 * Nodes with at least this share of the largest capacity are in every result,
 * so that callers of similar nodes keep their connections.
 */
const ALWAYS_LISTED_SHARE = 0.5;

/**
 * The share of lookups that list a node. Callers spread evenly over the listed
 * nodes, so it is also the node's relative share of the requests.
 */
export function computeListingShare(
  capacity: number,
  maxCapacity: number,
): number {
  return Math.min(1, capacity / (maxCapacity * ALWAYS_LISTED_SHARE));
}
