/**
 * Prompt prefixes that are likely to be in the caches of the groups.
 *
 * @module
 */
import { DeepestFirstStore, type PrefixStore } from "./prefix-store.ts";

/**
 * Index of the prompts that this node has sent. Cache events correct it, but
 * they arrive late and with gaps, so the index is only a hint.
 */
export class PrefixIndex {
  #createStore: () => PrefixStore;
  #groups = new Map<string, PrefixStore>();

  constructor(createStore: () => PrefixStore = () => new DeepestFirstStore()) {
    this.#createStore = createStore;
  }

  /** Counts the prefixes, from the shortest one, that a group holds. */
  matchLength(group: string, prefix: readonly string[]): number {
    const store = this.#groups.get(group);
    if (store === undefined) {
      return 0;
    }
    let length = 0;
    while (length < prefix.length && store.has(prefix[length]!)) {
      length++;
    }
    return length;
  }

  /** Records a prompt that was sent to a group. */
  recordPrompt(group: string, prefix: readonly string[]): void {
    let store = this.#groups.get(group);
    if (store === undefined) {
      store = this.#createStore();
      this.#groups.set(group, store);
    }
    store.add(prefix);
  }

  /** Applies an event of a group's cache. */
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
    const store = this.#groups.get(group);
    for (const hash of event.removed ?? []) {
      store?.remove(hash);
    }
  }

  /** Forgets a group. */
  forget(group: string): void {
    this.#groups.delete(group);
  }
}
