/**
 * Epochs of the groups that holders of placement form.
 *
 * @module
 */

/**
 * Epochs of a later holder are always higher, even if it has not read the
 * latest ones.
 */
const EPOCHS_PER_FENCE = 10_000;
/**
 * An epoch that is further ahead comes from no holder. If it were counted, the
 * next epochs would soon exceed what an entry can hold.
 */
const MAX_FENCES_AHEAD = 10;

/** Numbers groups in ascending order over all holders. */
export class EpochSequence {
  #highest = 0;

  /** Takes account of a group's epoch; returns false if it is implausible. */
  record(epoch: number, fence: number): boolean {
    const isPlausible = epoch < (fence + MAX_FENCES_AHEAD) * EPOCHS_PER_FENCE;
    if (isPlausible) {
      this.#highest = Math.max(this.#highest, epoch);
    }
    return isPlausible;
  }

  /** Returns the epoch of the next group of the holder with this fence. */
  next(fence: number): number {
    this.#highest = Math.max(this.#highest, fence * EPOCHS_PER_FENCE) + 1;
    return this.#highest;
  }
}
