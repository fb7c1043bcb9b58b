/**
 * Splits an engine's stream of server-sent events without decoding the text.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Index of the event that ends a stream. */
export const END_INDEX = -1;

/**
 * Events that one chunk completes: their bytes in one piece as they came, so
 * that they can be forwarded with one write.
 */
export interface TokenEventBatch {
  readonly bytes: Buffer;
  /** Index of each token; `END_INDEX` for the event that ends the stream. */
  readonly tokenIndices: readonly number[];
  /** Position after each event, with its empty line. */
  readonly endOffsets: readonly number[];
}

/** Bytes of an event; an engine that sends more does not follow the format. */
const MAX_EVENT_BYTES = 1024 * 1024;
const SEPARATOR = Buffer.from("\n\n");
const ID_PREFIX = Buffer.from("id: ");
const END_PREFIX = Buffer.from("data: [DONE]");
const LINE_FEED = 0x0a;
const DIGIT_ZERO = 0x30;
const DIGIT_NINE = 0x39;

/** A stream that does not follow the engine's format. */
export class TokenFormatError extends Error {
  override name = "TokenFormatError";
}

/** Cuts byte chunks into events; keeps an unfinished event for later. */
export class TokenEventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Returns the events that the chunk completes. */
  push(chunk: Uint8Array): TokenEventBatch {
    const bytes = this.#join(chunk);
    const tokenIndices: number[] = [];
    const endOffsets: number[] = [];
    // The separator may begin in the rest, so its last byte is searched again.
    const searchFrom = Math.max(0, this.#rest.length - 1);
    let start = 0;
    for (
      let end = bytes.indexOf(SEPARATOR, searchFrom);
      end >= 0;
      end = bytes.indexOf(SEPARATOR, start)
    ) {
      tokenIndices.push(readEventIndex(bytes, start, end));
      start = end + SEPARATOR.length;
      endOffsets.push(start);
    }
    this.#rest = bytes.subarray(start);
    if (this.#rest.length > MAX_EVENT_BYTES) {
      throw new TokenFormatError("the event is too large");
    }
    return { bytes: bytes.subarray(0, start), tokenIndices, endOffsets };
  }

  #join(chunk: Uint8Array): Buffer {
    const arrived = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    return this.#rest.length === 0
      ? arrived
      : Buffer.concat([this.#rest, arrived]);
  }
}

function readEventIndex(bytes: Buffer, start: number, end: number): number {
  if (hasPrefix(bytes, start, END_PREFIX)) {
    return END_INDEX;
  }
  if (!hasPrefix(bytes, start, ID_PREFIX)) {
    throw new TokenFormatError("expected an event that begins with its id");
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
    throw new TokenFormatError("expected a number as the event's id");
  }
  return index;
}

function hasPrefix(bytes: Buffer, start: number, prefix: Buffer): boolean {
  for (let offset = 0; offset < prefix.length; offset++) {
    if (bytes[start + offset] !== prefix[offset]) {
      return false;
    }
  }
  return true;
}
