/**
 * Positions in the topics of a store that may be restored from a copy.
 *
 * A restored store gives out again the offsets that followed the copy. Its era
 * rises with each restore, so a position holds both: each position of a later
 * era comes after all of the earlier ones.
 *
 * @module
 */

/** More offsets than a topic gets; leaves 2^13 eras that are exact. */
const OFFSETS_PER_ERA = 2 ** 40;
/** More changes of the members than an era has. */
const GENERATIONS_PER_ERA = 2 ** 20;
const MAX_ERA = 2 ** 13 - 1;

/** Returns the position of an offset of an era. */
export function createPosition(era: number, offset: number): number {
  return era * OFFSETS_PER_ERA + offset;
}

/** Returns the era of a position. */
export function eraOf(position: number): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** Returns the offset of a position. */
export function offsetOf(position: number): number {
  return position % OFFSETS_PER_ERA;
}

/**
 * Returns a generation of the members that increases with each change, also if
 * the store's own generation goes back with a restore.
 */
export function createGeneration(era: number, storeGeneration: number): number {
  return era * GENERATIONS_PER_ERA +
    Math.min(storeGeneration, GENERATIONS_PER_ERA - 1);
}

/** Returns the store's generation; 0 if it is one of another era. */
export function storeGenerationOf(era: number, generation: number): number {
  return Math.floor(generation / GENERATIONS_PER_ERA) === era
    ? generation % GENERATIONS_PER_ERA
    : 0;
}

/** The latest era that the replies of a store have stated. */
export class StoreEra {
  #current = 0;

  get current(): number {
    return this.#current;
  }

  /**
   * Takes account of the era that a reply states, if it does. The result is
   * false if the reply was sent before the store was last restored.
   */
  observe(stated: number | undefined): boolean {
    if (stated === undefined || !isEra(stated)) {
      return true;
    }
    this.#current = Math.max(this.#current, stated);
    return stated === this.#current;
  }
}

function isEra(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAX_ERA;
}
