/**
 * The body of an upstream's response, chunk by chunk as it arrives.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { setImmediate } from "node:timers/promises";
import type { MemoryAccount } from "@zinniahill/clients";

/** Where the bytes of an answer are counted. */
export type MemoryUse = Pick<MemoryAccount, "add" | "remove">;

/** Controls the connection that a body arrives on. */
export interface BodySource {
  pause(): void;
  resume(): void;
}

/** A reader that waits for the next chunk. */
interface Waiter {
  resolve(result: IteratorResult<Buffer>): void;
  reject(failure: Error): void;
}

/** The source is paused while more bytes are buffered. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** More bytes of one body are read in a later turn of the event loop. */
const MAX_BYTES_PER_TURN = 256 * 1024;
/** Memory that a chunk takes beside its bytes. */
const CHUNK_OVERHEAD_BYTES = 256;
const DONE: IteratorResult<Buffer> = { done: true, value: undefined };

/** Can be read once. A stream costs several times as much for each chunk. */
export class ResponseBody implements AsyncIterableIterator<Buffer> {
  #source: BodySource;
  #memory: MemoryUse;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  /** Bytes that were read since the reader last waited for a turn. */
  #bytesInTurn = 0;
  #waiter: Waiter | undefined;
  #isComplete = false;
  #failure: Error | undefined;

  constructor(source: BodySource, memory: MemoryUse) {
    this.#source = source;
    this.#memory = memory;
  }

  /** Whether all chunks have arrived and been read. */
  get isRead(): boolean {
    return this.#isComplete && this.#failure === undefined &&
      this.#chunks.length === 0;
  }

  push(chunk: Buffer): void {
    if (this.#waiter !== undefined) {
      this.#bytesInTurn += countBytes(chunk);
      this.#takeWaiter().resolve({ done: false, value: chunk });
      return;
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += countBytes(chunk);
    this.#memory.add(countBytes(chunk));
    if (this.#bufferedBytes > MAX_BUFFERED_BYTES) {
      this.#source.pause();
    }
  }

  /** Ends the body after its last chunk. */
  complete(): void {
    this.#isComplete = true;
    if (this.#waiter !== undefined) {
      this.#takeWaiter().resolve(DONE);
    }
  }

  /** Ends the body, which is not complete. */
  fail(failure: Error): void {
    this.#failure ??= failure;
    if (this.#waiter !== undefined) {
      this.#takeWaiter().reject(failure);
    }
  }

  /** Drops the chunks that were not read; the reader gets the failure. */
  discard(failure: Error): void {
    this.#chunks = [];
    this.#memory.remove(this.#bufferedBytes);
    this.#bufferedBytes = 0;
    this.fail(failure);
  }

  /** Reads a chunk; a body that never ends leaves time to all others. */
  async next(): Promise<IteratorResult<Buffer>> {
    if (this.#bytesInTurn > MAX_BYTES_PER_TURN) {
      await setImmediate();
      this.#bytesInTurn = 0;
    }
    return this.#read();
  }

  #read(): Promise<IteratorResult<Buffer>> {
    const chunk = this.#chunks.shift();
    if (chunk !== undefined) {
      this.#bytesInTurn += countBytes(chunk);
      this.#bufferedBytes -= countBytes(chunk);
      this.#memory.remove(countBytes(chunk));
      if (this.#chunks.length === 0) {
        this.#source.resume();
      }
      return Promise.resolve({ done: false, value: chunk });
    }
    if (this.#failure !== undefined) {
      return Promise.reject(this.#failure);
    }
    if (this.#isComplete) {
      return Promise.resolve(DONE);
    }
    return new Promise((resolve, reject) => {
      this.#waiter = { resolve, reject };
    });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  #takeWaiter(): Waiter {
    const waiter = this.#waiter!;
    this.#waiter = undefined;
    return waiter;
  }
}

function countBytes(chunk: Buffer): number {
  return chunk.length + CHUNK_OVERHEAD_BYTES;
}
