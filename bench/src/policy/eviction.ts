/**
 * Ways to drop prefixes from the index that were measured beside the one in use.
 *
 * They follow the families that "Radix Cache Eviction Policies" compares:
 * recency as the plain baseline, frequency with ageing, and segments. The index
 * itself drops the tails of long prompts first.
 *
 * @module
 */
import type { PrefixStore } from "@zinniahill/policy";

/** Uses are halved after this many additions, so that old ones fade. */
const AGEING_ADDITIONS = 500;
const PROTECTED_SHARE = 0.8;

/** Drops the least recently used prefix first. */
class RecencyStore implements PrefixStore {
  #capacity: number;
  #held = new Set<string>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  has(hash: string): boolean {
    return this.#held.has(hash);
  }

  add(prefix: readonly string[]): void {
    // The shortest prefix becomes the most recent one, because the longer ones
    // are of no use without it.
    for (const hash of prefix.toReversed()) {
      this.#held.delete(hash);
      this.#held.add(hash);
    }
    for (const hash of this.#held) {
      if (this.#held.size <= this.#capacity) {
        break;
      }
      this.#held.delete(hash);
    }
  }

  remove(hash: string): void {
    this.#held.delete(hash);
  }
}

/** Drops the prefix with the fewest uses, the oldest first. */
class FrequencyStore implements PrefixStore {
  #capacity: number;
  #uses = new Map<string, number>();
  #additions = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  has(hash: string): boolean {
    return this.#uses.has(hash);
  }

  add(prefix: readonly string[]): void {
    for (const hash of prefix.toReversed()) {
      const uses = this.#uses.get(hash) ?? 0;
      this.#uses.delete(hash);
      this.#uses.set(hash, uses + 1);
    }
    this.#additions++;
    if (this.#additions % AGEING_ADDITIONS === 0) {
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

  add(prefix: readonly string[]): void {
    const known = prefix.filter((hash) => this.has(hash));
    const fresh = prefix.filter((hash) => !this.has(hash));
    known.forEach((hash) => this.#probation.remove(hash));
    this.#protected.add(known);
    this.#probation.add(fresh);
  }

  remove(hash: string): void {
    this.#probation.remove(hash);
    this.#protected.remove(hash);
  }
}

/** Ways of eviction by name. */
export const EVICTIONS: Readonly<
  Record<string, (capacity: number) => PrefixStore>
> = {
  frequency: (capacity) => new FrequencyStore(capacity),
  segmented: (capacity) => new SegmentedStore(capacity),
  recency: (capacity) => new RecencyStore(capacity),
};
