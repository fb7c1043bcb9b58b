/**
 * Bounds of collections that are kept by the age of their entries.
 *
 * @module
 */

/** A map or a set, in the order in which its keys were added. */
interface Collection {
  readonly size: number;
  keys(): IterableIterator<string>;
  delete(key: string): boolean;
}

/** Deletes the keys that were added first until at most `maxSize` are left. */
export function dropOldest(collection: Collection, maxSize: number): void {
  for (const key of collection.keys()) {
    if (collection.size <= maxSize) {
      return;
    }
    collection.delete(key);
  }
}
