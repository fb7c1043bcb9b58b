/**
 * The prefixes of one group, in limited memory.
 *
 * @module
 */

/** Prefixes remembered for one group. */
const DEFAULT_CAPACITY = 4096;

/** Oldest prefixes among which the longest is dropped. */
const TAIL_CANDIDATES = 16;

/** The prefixes of one group, and what is dropped when there are too many. */
export interface PrefixStore {
  has(hash: string): boolean;
  /** Notes the use of a prompt's prefixes, the shortest first. */
  add(prefix: readonly string[]): void;
  remove(hash: string): void;
}

/**
 * Among the oldest prefixes, drops the one deepest in its prompt: fewer later
 * prompts share it, and the shorter ones stay of use without it.
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
      this.#depths.delete(this.#findTail());
    }
  }

  remove(hash: string): void {
    this.#depths.delete(hash);
  }

  #findTail(): string {
    let tail = "";
    let deepest = -1;
    let seen = 0;
    for (const [hash, depth] of this.#depths) {
      if (depth > deepest) {
        tail = hash;
        deepest = depth;
      }
      if (++seen === TAIL_CANDIDATES) {
        break;
      }
    }
    return tail;
  }
}
