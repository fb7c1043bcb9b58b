/**
 * Ways to drop prefixes from the index that were measured beside recency.
 *
 * They follow the families that "Radix Cache Eviction Policies" compares:
 * frequency with ageing, segments, and the tails of long prompts first.
 *
 * @module
 */
import { type PrefixStore, RecencyStore } from "@zinniahill/policy";

/** Uses are halved after this many notes, so that old ones fade. */
const AGEING_NOTES = 500;
const PROTECTED_SHARE = 0.8;
/** Oldest prefixes among which the longest is dropped. */
const TAIL_CANDIDATES = 16;

/** Drops the prefix with the fewest uses, the oldest first. */
class FrequencyStore implements PrefixStore {
  #capacity: number;
  #uses = new Map<string, number>();
  #notes = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  has(hash: string): boolean {
    return this.#uses.has(hash);
  }

  note(prefix: readonly string[]): void {
    for (const hash of prefix.toReversed()) {
      const uses = this.#uses.get(hash) ?? 0;
      this.#uses.delete(hash);
      this.#uses.set(hash, uses + 1);
    }
    this.#notes++;
    if (this.#notes % AGEING_NOTES === 0) {
      this.#uses.forEach((uses, hash) => this.#uses.set(hash, uses / 2));
    }
    while (this.#uses.size > this.#capacity) {
      this.#uses.delete(this.#findLeastUsed());
    }
  }

  remove(hash: string): void {
    this.#uses.delete(hash);
  }

  #findLeastUsed(): string {
    let least = "";
    let fewest = Infinity;
    for (const [hash, uses] of this.#uses) {
      if (uses < fewest) {
        least = hash;
        fewest = uses;
      }
    }
    return least;
  }
}

/** Protects prefixes that were used again from those used once. */
class SegmentedStore implements PrefixStore {
  #probation: RecencyStore;
  #protected: RecencyStore;

  constructor(capacity: number) {
    const size = Math.round(capacity * PROTECTED_SHARE);
    this.#protected = new RecencyStore(size);
    this.#probation = new RecencyStore(capacity - size);
  }

  has(hash: string): boolean {
    return this.#protected.has(hash) || this.#probation.has(hash);
  }

  note(prefix: readonly string[]): void {
    const known = prefix.filter((hash) => this.has(hash));
    const fresh = prefix.filter((hash) => !this.has(hash));
    known.forEach((hash) => this.#probation.remove(hash));
    this.#protected.note(known);
    this.#probation.note(fresh);
  }

  remove(hash: string): void {
    this.#probation.remove(hash);
    this.#protected.remove(hash);
  }
}

/** Among the oldest prefixes, drops the one deepest in its prompt. */
class TailStore implements PrefixStore {
  #capacity: number;
  #depths = new Map<string, number>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  has(hash: string): boolean {
    return this.#depths.has(hash);
  }

  note(prefix: readonly string[]): void {
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

/** Ways of eviction by name. */
export const EVICTIONS: Readonly<
  Record<string, (capacity: number) => PrefixStore>
> = {
  frequency: (capacity) => new FrequencyStore(capacity),
  segmented: (capacity) => new SegmentedStore(capacity),
  tail: (capacity) => new TailStore(capacity),
};
