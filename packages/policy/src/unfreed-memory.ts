/**
 * When memory that nothing refers to any more is freed.
 *
 * V8 frees it some 64 MB of allocations later, which the smallest hosts do not
 * have. A full collection takes tens of milliseconds, so it is made only
 * for bytes that V8 would not soon free by itself.
 *
 * @module
 */
import { isCollectionDue } from "./memory-pressure.ts";

/** Smaller buffers, and bodies, are freed with the young generation. */
const MIN_BYTES = 128 * 1024;

/** Counts the bytes that wait for a full collection. */
export class UnfreedMemory {
  #memoryBytes: number;
  #bytes = 0;
  /** Bytes of requests that were evicted in this turn of the event loop. */
  #evictedBytes = 0;
  /** Those of them that a collection in this turn may not have freed. */
  #missedBytes = 0;
  /** Bytes of requests whose connection was closed in this turn. */
  #closedBytes = 0;

  constructor(memoryBytes: number) {
    this.#memoryBytes = memoryBytes;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Counts a buffer that was dropped. */
  drop(bytes: number): void {
    if (bytes >= MIN_BYTES) {
      this.#bytes += bytes;
    }
  }

  /**
   * Counts a chunk that was copied to a body, which holds so many bytes by now.
   * A large body passes through the memory twice: its chunks take as much as
   * its buffer until they are freed.
   */
  copy(chunkBytes: number, bodyBytes: number): void {
    if (bodyBytes >= MIN_BYTES) {
      this.#bytes += chunkBytes;
    }
  }

  /**
   * Notes the bytes of an evicted request, which its account has dropped. Its
   * connection refers to an answer until the end of the turn, so a collection
   * before that does not free it.
   */
  evict(bytes: number): void {
    if (bytes >= MIN_BYTES) {
      this.#evictedBytes += bytes;
    }
  }

  /**
   * Counts a request on a connection that is closed in this turn, which refers
   * to it until the turn ends. Many such requests are parsed in one turn and
   * leave the young generation meanwhile, so their size does not matter.
   */
  close(bytes: number): void {
    this.#closedBytes += bytes;
  }

  /** Counts what a collection in this turn may not have freed. */
  endTurn(): void {
    this.#bytes += this.#missedBytes + this.#closedBytes;
    this.#closedBytes = 0;
    this.#evictedBytes = 0;
    this.#missedBytes = 0;
  }

  /** Whether a collection is made now; the count begins anew if so. */
  tryCollect(): boolean {
    const isDue = isCollectionDue(this.#bytes, this.#memoryBytes);
    if (isDue) {
      this.#bytes = 0;
      this.#missedBytes = this.#evictedBytes;
    }
    return isDue;
  }
}
