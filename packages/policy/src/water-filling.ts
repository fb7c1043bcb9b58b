/**
 * Selects among upstreams by request counts that may be out of date.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/**
 * Draws the index of an upstream, with a higher probability for a lower load;
 * undefined if no upstream has room.
 *
 * The unreported requests of other nodes, which `loads` does not include, and
 * the next request are assumed to fill the least loaded upstreams up to a
 * common level (water-filling), at most the limit. An upstream's probability is
 * the share of these requests that it receives. Where they exceed the room
 * below the limit, the next request finds room with the same probability as
 * each of them.
 *
 * Without unreported requests, the least loaded upstream is selected; with
 * many, all nodes together fill the upstreams evenly. If every node selected
 * the least loaded upstream, all would send to the same one until the next
 * counts arrive.
 */
export function selectByLoad(
  loads: readonly number[],
  unreported: number,
  limit: number,
  random: Random,
): number | undefined {
  if (!loads.some((load) => load < limit)) {
    return undefined;
  }
  const level = Math.min(limit, findFillLevel(loads, unreported + 1));
  let remaining = random.fraction() * (unreported + 1);
  for (const [index, load] of loads.entries()) {
    remaining -= Math.max(0, level - load);
    if (remaining < 0) {
      return index;
    }
  }
  // Rounding may leave a remainder after the last upstream.
  return level < limit ? findLeastLoaded(loads) : undefined;
}

/**
 * The loads once the unreported requests have been added to the least loaded
 * upstreams, up to a common level that is at most the limit.
 */
export function addUnreported(
  loads: readonly number[],
  unreported: number,
  limit: number,
): number[] {
  if (unreported === 0 || !loads.some((load) => load < limit)) {
    return [...loads];
  }
  const level = Math.min(limit, findFillLevel(loads, unreported));
  return loads.map((load) => Math.max(load, level));
}

/** The level up to which `added` requests fill the least loaded upstreams. */
function findFillLevel(loads: readonly number[], added: number): number {
  const sorted = [...loads].sort((a, b) => a - b);
  let sum = added;
  for (const [index, load] of sorted.entries()) {
    sum += load;
    const level = sum / (index + 1);
    if (level <= (sorted[index + 1] ?? Infinity)) {
      return level;
    }
  }
  return Infinity;
}

function findLeastLoaded(loads: readonly number[]): number {
  return loads.indexOf(Math.min(...loads));
}

/** An estimate of the requests in progress at several upstreams. */
export interface LoadEstimate {
  /** Requests at each upstream, without the unreported ones. */
  readonly loads: readonly number[];
  /**
   * Requests of other nodes at any of the upstreams that have been sent since
   * the last reports.
   */
  readonly unreported: number;
}
