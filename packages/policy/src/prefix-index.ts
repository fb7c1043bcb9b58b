/**
 * Which prompt prefixes the groups' caches are thought to hold.
 *
 * @module
 */

/** Prefixes remembered for one group. */
const DEFAULT_CAPACITY = 4096;

/**
 * An index kept from what the node has sent, with the least recently used
 * prefix dropped first. Cache events correct it; they come late and with gaps,
 * so the index is a hint.
 */
export class PrefixIndex {
  #capacity: number;
  #groups = new Map<string, Map<string, true>>();

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
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
    const held = this.#groups.get(group) ?? new Map<string, true>();
    this.#groups.set(group, held);
    // The shortest prefix becomes the most recent one, because the longer ones
    // are of no use without it.
    for (const hash of prefix.toReversed()) {
      held.delete(hash);
      held.set(hash, true);
    }
    for (const hash of held.keys()) {
      if (held.size <= this.#capacity) {
        break;
      }
      held.delete(hash);
    }
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
      held?.delete(hash);
    }
  }

  /** Forgets a group. */
  forget(group: string): void {
    this.#groups.delete(group);
  }
}
