/**
 * Bytes that are collected chunk by chunk.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const INITIAL_CAPACITY = 1024;

/**
 * Copies chunks into one piece of memory, so that many small ones take no more
 * of it than a large one, and each is copied a few times at most.
 */
export class ByteBuffer {
  #bytes: Buffer = Buffer.alloc(0);
  #length = 0;

  get length(): number {
    return this.#length;
  }

  /** Bytes that the collection takes of the memory. */
  get capacity(): number {
    return this.#bytes.length;
  }

  /** The collected bytes; valid until the next change. */
  get view(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (length > this.#bytes.length) {
      const capacity = Math.max(length, 2 * this.#length, INITIAL_CAPACITY);
      const larger = Buffer.allocUnsafeSlow(capacity);
      this.view.copy(larger);
      this.#bytes = larger;
    }
    chunk.copy(this.#bytes, this.#length);
    this.#length = length;
  }

  /** Removes bytes from the beginning. */
  consume(count: number): void {
    this.#bytes.copyWithin(0, count, this.#length);
    this.#length -= count;
  }
}

/** Where the bytes of a body, and those of its chunks, are counted. */
export interface BodyMemory {
  add(bytes: number): void;
  remove(bytes: number): void;
  noteCopied(chunkBytes: number, bodyBytes: number): void;
}

/** Appends a chunk, and counts what the buffer takes of the memory. */
export function appendCounted(
  buffer: ByteBuffer,
  chunk: Buffer,
  memory: BodyMemory,
): void {
  const before = buffer.capacity;
  buffer.append(chunk);
  if (buffer.capacity !== before) {
    memory.add(buffer.capacity);
    memory.remove(before);
  }
  memory.noteCopied(chunk.length, buffer.length);
}
