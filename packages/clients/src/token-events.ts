/**
 * Splits an engine's stream of server-sent events without decoding their text.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Index that stands for the event that ends a stream. */
export const END_INDEX = -1;

/**
 * The events that one chunk completes. Their bytes are unchanged and
 * contiguous, so that they can be forwarded with one write.
 */
export interface TokenEventBatch {
  readonly bytes: Buffer;
  /** Token index of each event; `END_INDEX` if it ends the stream. */
  readonly tokenIndices: readonly number[];
  /** Offset in `bytes` after each event, its empty line included. */
  readonly endOffsets: readonly number[];
}

/** Maximum size of a buffered event; a larger one violates the format. */
const MAX_EVENT_BYTES = 1024 * 1024;
const EVENT_SEPARATOR = Buffer.from("\n\n");
const ID_PREFIX = Buffer.from("id: ");
const END_EVENT_PREFIX = Buffer.from("data: [DONE]");
const LINE_FEED = 0x0a;
const DIGIT_ZERO = 0x30;
const DIGIT_NINE = 0x39;

/** Thrown for a stream that violates the engines' event format. */
export class TokenFormatError extends Error {
  override name = "TokenFormatError";
}

/** Splits byte chunks into events; buffers an incomplete event. */
export class TokenEventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);

  /** Returns the events that the chunk completes. */
  push(chunk: Uint8Array): TokenEventBatch {
    const bytes = this.#prependIncompleteEvent(chunk);
    const tokenIndices: number[] = [];
    const endOffsets: number[] = [];
    // The separator may start with the last byte of the incomplete event.
    const searchFrom = Math.max(0, this.#incompleteEvent.length - 1);
    let start = 0;
    for (
      let end = bytes.indexOf(EVENT_SEPARATOR, searchFrom);
      end >= 0;
      end = bytes.indexOf(EVENT_SEPARATOR, start)
    ) {
      tokenIndices.push(parseTokenIndex(bytes, start, end));
      start = end + EVENT_SEPARATOR.length;
      endOffsets.push(start);
    }
    this.#incompleteEvent = bytes.subarray(start);
    if (this.#incompleteEvent.length > MAX_EVENT_BYTES) {
      throw new TokenFormatError("the event exceeds the size limit");
    }
    return { bytes: bytes.subarray(0, start), tokenIndices, endOffsets };
  }

  #prependIncompleteEvent(chunk: Uint8Array): Buffer {
    const chunkBytes = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    return this.#incompleteEvent.length === 0
      ? chunkBytes
      : Buffer.concat([this.#incompleteEvent, chunkBytes]);
  }
}

function parseTokenIndex(bytes: Buffer, start: number, end: number): number {
  if (hasPrefixAt(bytes, start, END_EVENT_PREFIX)) {
    return END_INDEX;
  }
  if (!hasPrefixAt(bytes, start, ID_PREFIX)) {
    throw new TokenFormatError("the event does not start with its id");
  }
  let index = 0;
  let position = start + ID_PREFIX.length;
  for (; position < end; position++) {
    const digit = bytes[position]!;
    if (digit < DIGIT_ZERO || digit > DIGIT_NINE) {
      break;
    }
    index = index * 10 + digit - DIGIT_ZERO;
  }
  const hasDigits = position > start + ID_PREFIX.length;
  if (!hasDigits || bytes[position] !== LINE_FEED) {
    throw new TokenFormatError("the event's id is not a number");
  }
  return index;
}

function hasPrefixAt(bytes: Buffer, start: number, prefix: Buffer): boolean {
  for (let offset = 0; offset < prefix.length; offset++) {
    if (bytes[start + offset] !== prefix[offset]) {
      return false;
    }
  }
  return true;
}
