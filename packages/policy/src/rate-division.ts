/**
 * Division of a request rate among nodes that exchange no counts.
 *
 * @module
 */

/** At most so many requests of all nodes in any window of this length. */
export interface RateBound {
  readonly windowMs: number;
  readonly maxRequests: number;
}

/** The part of a rate that each of some nodes gets. */
export interface RateDivision {
  /** Requests a second of these nodes together. */
  readonly perSecond: number;
  /** How many of the nodes send requests at all. */
  readonly nodes: number;
}

const MS_PER_SECOND = 1000;
/**
 * Part of a bound that stays free. Nodes that join or that have just started
 * may know other nodes than the rest, so that more of them send for a moment.
 */
const RESERVED_SHARE = 0.1;
/** A lone node with a lower bound than two requests sends one in a window. */
const MAX_SINGLE = 0.99;

/**
 * Finds how many of `nodes` nodes may send, so that no window exceeds its bound
 * whatever the times at which each node sends. A node leaves the same interval
 * after each of its requests, so it sends in a window at most the number of
 * whole intervals in it and one more. That holds without a common clock, and
 * for nodes that learned of the rate at different times.
 */
export function divideRate(
  perSecond: number,
  nodes: number,
  bounds: readonly RateBound[],
): RateDivision {
  const usable = bounds.map(({ windowMs, maxRequests }) => ({
    windowMs,
    maxRequests: maxRequests * (1 - RESERVED_SHARE),
  }));
  for (let count = nodes; count > 0; count--) {
    const division = { perSecond, nodes: count };
    const isKept = usable.every(({ windowMs, maxRequests }) =>
      countMost(division, windowMs) <= maxRequests
    );
    if (isKept) {
      return division;
    }
  }
  const rates = usable.map(({ windowMs, maxRequests }) =>
    Math.max(maxRequests - 1, MAX_SINGLE) * MS_PER_SECOND / windowMs
  );
  return { perSecond: Math.min(perSecond, ...rates), nodes: 1 };
}

/** The most requests that all nodes of a division send in a window. */
function countMost(
  { perSecond, nodes }: RateDivision,
  windowMs: number,
): number {
  const perNode = perSecond * windowMs / MS_PER_SECOND / nodes;
  return nodes * (Math.floor(perNode) + 1);
}
