/**
 * Positions of records in a log that may be restored from a copy. A later era's
 * positions come after all earlier ones, although offsets are given out again.
 *
 * @module
 */

/** Offsets of one era; 8,192 eras fit into a safe integer. */
const ERA_SIZE = 2 ** 40;

/** Creates the position of an offset; it is the offset itself in era 0. */
export function createPosition(era: number, offset: number): number {
  return era * ERA_SIZE + offset;
}

/** Returns the era of a position. */
export function findEra(position: number): number {
  return Math.floor(position / ERA_SIZE);
}

/** Returns the offset of a position. */
export function findOffset(position: number): number {
  return position % ERA_SIZE;
}
