/**
 * Chooses among upstreams by counts of requests that may be out of date.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/**
 * Draws an index, the less loaded ones more often; undefined if there is no room.
 *
 * Requests of other nodes that the counts do not show yet are taken to have
 * filled the least loaded upstreams up to one level, or up to the limit, and the
 * next request goes to each of these as often as that level is above its count.
 * Where the unseen requests alone take more than all places up to the limit, it
 * gets a place as often as one of them does.
 *
 * Without unseen requests, the least load is chosen; with many, all nodes
 * together fill the upstreams evenly. If every node chose the least load, all
 * would choose the same upstream until the next counts.
 */
export function selectByLoad(
  loads: readonly number[],
  unseen: number,
  limit: number,
  random: Random,
): number | undefined {
  const level = Math.min(limit, findLevel(loads, unseen + 1));
  let left = random.fraction() * (unseen + 1);
  for (const [index, load] of loads.entries()) {
    left -= Math.max(0, level - load);
    if (left < 0) {
      return index;
    }
  }
  // Rounding may leave a rest after the last one.
  return level < limit ? findLeast(loads) : undefined;
}

/** The level up to which `added` requests fill the least loaded upstreams. */
function findLevel(loads: readonly number[], added: number): number {
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

function findLeast(loads: readonly number[]): number {
  return loads.indexOf(Math.min(...loads));
}
