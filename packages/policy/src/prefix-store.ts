/**
 * Prompt prefixes of one group, in limited memory.
 *
 * @module
 */

/** Prefixes kept for one group. */
const DEFAULT_CAPACITY = 4096;

/** Number of oldest prefixes from which one is evicted. */
const EVICTION_CANDIDATES = 16;

/** Holds the prefixes of one group, and evicts some when there are too many. */
export interface PrefixStore {
  has(hash: string): boolean;
  /** Adds or refreshes the prefixes of a prompt, the shortest first. */
  add(prefix: readonly string[]): void;
  remove(hash: string): void;
}

/**
 * Evicts, among the oldest prefixes, the one deepest in its prompt: fewer later
 * prompts share it, and the shorter prefixes remain useful without it.
 */
export class DeepestFirstStore implements PrefixStore {
  #capacity: number;
  #depths = new Map<string, number>();

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  has(hash: string): boolean {
    return this.#depths.has(hash);
  }

  add(prefix: readonly string[]): void {
    prefix.forEach((hash, depth) => {
      this.#depths.delete(hash);
      this.#depths.set(hash, depth);
    });
    while (this.#depths.size > this.#capacity) {
      this.#depths.delete(this.#findVictim());
    }
  }

  remove(hash: string): void {
    this.#depths.delete(hash);
  }

  #findVictim(): string {
    let victim = "";
    let maxDepth = -1;
    let seen = 0;
    for (const [hash, depth] of this.#depths) {
      if (depth > maxDepth) {
        victim = hash;
        maxDepth = depth;
      }
      if (++seen === EVICTION_CANDIDATES) {
        break;
      }
    }
    return victim;
  }
}
