/**
 * Which prompt prefixes the groups' caches are thought to hold.
 *
 * @module
 */

/** Prefixes remembered for one group. */
const DEFAULT_CAPACITY = 4096;

/** The prefixes of one group, and what is dropped when there are too many. */
export interface PrefixStore {
  has(hash: string): boolean;
  /** Notes the use of a prompt's prefixes, the shortest first. */
  note(prefix: readonly string[]): void;
  remove(hash: string): void;
}

/** Drops the least recently used prefix first. */
export class RecencyStore implements PrefixStore {
  #capacity: number;
  #held = new Set<string>();

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  has(hash: string): boolean {
    return this.#held.has(hash);
  }

  note(prefix: readonly string[]): void {
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

/**
 * An index kept from what the node has sent. Cache events correct it; they come
 * late and with gaps, so the index is a hint.
 */
export class PrefixIndex {
  #createStore: () => PrefixStore;
  #groups = new Map<string, PrefixStore>();

  constructor(createStore: () => PrefixStore = () => new RecencyStore()) {
    this.#createStore = createStore;
  }

  /** How many of the prefixes, from the shortest, a group holds. */
  match(group: string, prefix: readonly string[]): number {
    const held = this.#groups.get(group);
    if (held === undefined) {
      return 0;
    }
    let length = 0;
    while (length < prefix.length && held.has(prefix[length]!)) {
      length++;
    }
    return length;
  }

  /** Notes a prompt that was sent to a group. */
  note(group: string, prefix: readonly string[]): void {
    let held = this.#groups.get(group);
    if (held === undefined) {
      held = this.#createStore();
      this.#groups.set(group, held);
    }
    held.note(prefix);
  }

  /** Corrects the index by an event of a group's cache. */
  correct(
    group: string,
    event: {
      readonly stored?: readonly string[] | undefined;
      readonly removed?: readonly string[] | undefined;
    },
  ): void {
    if (event.stored !== undefined) {
      this.note(group, event.stored);
    }
    const held = this.#groups.get(group);
    for (const hash of event.removed ?? []) {
      held?.remove(hash);
    }
  }

  /** Forgets a group. */
  forget(group: string): void {
    this.#groups.delete(group);
  }
}
