/**
 * Selection beyond the shares of a node.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import { addUnreported, selectByLoad } from "./water-filling.ts";

/**
 * Share of the limit up to which a node uses more than its own shares. The rest
 * is for the nodes whose shares they are, which do not see these requests until
 * the next reports.
 */
const SPILL_LIMIT_SHARE = 0.95;

/**
 * Draws among all upstreams when the node's own shares are used up. The
 * unreported requests of other nodes mostly fill the shares of those nodes, so
 * they are added first. This request competes for the rest with as many of them
 * as exceed shares, of which `spillShare` is an estimate.
 */
export function selectBeyondHomes(
  loads: readonly number[],
  unreported: number,
  limit: number,
  spillShare: number,
  random: Random,
): number | undefined {
  const spillLimit = limit * SPILL_LIMIT_SHARE;
  return selectByLoad(
    addUnreported(loads, unreported, spillLimit),
    unreported * spillShare,
    spillLimit,
    random,
  );
}
