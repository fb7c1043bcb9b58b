/**
 * Positions in the topics of a store that may be restored from a copy.
 *
 * A restored store gives out again the offsets that followed the copy. Its era
 * rises with each restore, so a position holds both: each position of a later
 * era comes after all of the earlier ones.
 *
 * @module
 */

export {
  createPosition,
  findEra as eraOf,
  findOffset as offsetOf,
} from "@zinniahill/policy";

/** More changes of the members than an era has. */
const GENERATIONS_PER_ERA = 2 ** 20;
const MAX_ERA = 2 ** 13 - 1;

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
