/**
 * Which prompt prefixes the groups' caches are thought to hold.
 *
 * @module
 */
import { DeepestFirstStore, type PrefixStore } from "./prefix-store.ts";

/**
 * An index kept from what the node has sent. Cache events correct it; they come
 * late and with gaps, so the index is a hint.
 */
export class PrefixIndex {
  #createStore: () => PrefixStore;
  #groups = new Map<string, PrefixStore>();

  constructor(createStore: () => PrefixStore = () => new DeepestFirstStore()) {
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
  recordPrompt(group: string, prefix: readonly string[]): void {
    let held = this.#groups.get(group);
    if (held === undefined) {
      held = this.#createStore();
      this.#groups.set(group, held);
    }
    held.add(prefix);
  }

  /** Corrects the index by an event of a group's cache. */
  applyCacheEvent(
    group: string,
    event: {
      readonly stored?: readonly string[] | undefined;
      readonly removed?: readonly string[] | undefined;
    },
  ): void {
    if (event.stored !== undefined) {
      this.recordPrompt(group, event.stored);
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
