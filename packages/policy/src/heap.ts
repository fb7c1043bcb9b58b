/**
 * Binary heap whose items can be moved after their key has changed.
 *
 * @module
 */

/** An item that stores its index in a heap. */
export interface HeapItem {
  /** Index in the heap; -1 while the item is in none. */
  index: number;
}

/** Keeps the item with the lowest key first. */
export class Heap<Item extends HeapItem> {
  #items: Item[] = [];
  #readKey: (item: Item) => number;

  constructor(readKey: (item: Item) => number) {
    this.#readKey = readKey;
  }

  /** The number of items. */
  get size(): number {
    return this.#items.length;
  }

  /** The item with the lowest key. */
  get first(): Item | undefined {
    return this.#items[0];
  }

  /** Adds an item that is in no heap. */
  add(item: Item): void {
    item.index = this.#items.length;
    this.#items.push(item);
    this.#siftUp(item);
  }

  /** Removes an item; does nothing if it is in no heap. */
  remove(item: Item): void {
    if (item.index < 0) {
      return;
    }
    const last = this.#items.pop()!;
    if (last !== item) {
      this.#set(last, item.index);
      this.update(last);
    }
    item.index = -1;
  }

  /** Moves an item whose key has changed. */
  update(item: Item): void {
    if (item.index >= 0) {
      this.#siftUp(item);
      this.#siftDown(item);
    }
  }

  #set(item: Item, index: number): void {
    this.#items[index] = item;
    item.index = index;
  }

  #siftUp(item: Item): void {
    while (item.index > 0) {
      const parent = this.#items[(item.index - 1) >> 1]!;
      if (this.#readKey(parent) <= this.#readKey(item)) {
        return;
      }
      this.#swap(parent, item);
    }
  }

  #siftDown(item: Item): void {
    for (;;) {
      const left = this.#items[2 * item.index + 1];
      const right = this.#items[2 * item.index + 2];
      const isRight = left !== undefined && right !== undefined &&
        this.#readKey(right) < this.#readKey(left);
      const child = isRight ? right : left;
      if (
        child === undefined || this.#readKey(child) >= this.#readKey(item)
      ) {
        return;
      }
      this.#swap(item, child);
    }
  }

  #swap(one: Item, other: Item): void {
    const { index } = one;
    this.#set(one, other.index);
    this.#set(other, index);
  }
}
