/**
 * Estimate of how many requests exceed the shares of their node.
 *
 * @module
 */

/** The last twenty requests or so count: with many nodes, each has few. */
const WEIGHT = 0.05;

/** Moving average of this node's requests; other nodes are assumed alike. */
export class SpillShare {
  /** Assumes the most until requests show less. */
  #share = 1;

  get value(): number {
    return this.#share;
  }

  /** Records whether a request exceeded the node's shares. */
  record(isSpill: boolean): void {
    this.#share += WEIGHT * (Number(isSpill) - this.#share);
  }
}
