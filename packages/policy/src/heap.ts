/**
 * A binary heap whose items can be moved after their key has changed.
 *
 * @module
 */

/** An item that remembers its place in a heap. */
export interface HeapItem {
  /** Index in the heap; -1 while the item is in none. */
  place: number;
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
    item.place = this.#items.length;
    this.#items.push(item);
    this.#rise(item);
  }

  /** Removes an item; one that is in no heap is left alone. */
  remove(item: Item): void {
    if (item.place < 0) {
      return;
    }
    const last = this.#items.pop()!;
    if (last !== item) {
      this.#put(last, item.place);
      this.update(last);
    }
    item.place = -1;
  }

  /** Moves an item whose key has changed. */
  update(item: Item): void {
    if (item.place >= 0) {
      this.#rise(item);
      this.#sink(item);
    }
  }

  #put(item: Item, place: number): void {
    this.#items[place] = item;
    item.place = place;
  }

  #rise(item: Item): void {
    while (item.place > 0) {
      const parent = this.#items[(item.place - 1) >> 1]!;
      if (this.#readKey(parent) <= this.#readKey(item)) {
        return;
      }
      this.#swap(parent, item);
    }
  }

  #sink(item: Item): void {
    for (;;) {
      const left = this.#items[2 * item.place + 1];
      const right = this.#items[2 * item.place + 2];
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
    const { place } = one;
    this.#put(one, other.place);
    this.#put(other, place);
  }
}
