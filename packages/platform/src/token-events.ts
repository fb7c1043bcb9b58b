/**
 * Splits an engine's stream of server-sent events without decoding the text.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** One event of an engine's stream. */
export interface TokenEvent {
  /** Index of the token; -1 for the event that ends the stream. */
  readonly index: number;
  /** The event's bytes as they came, with the empty line at the end. */
  readonly bytes: Uint8Array;
}

/** Index of the event that ends a stream. */
export const END_INDEX = -1;

const SEPARATOR = "\n\n";
const ID_PREFIX = Buffer.from("id: ");
const END_PREFIX = Buffer.from("data: [DONE]");
const DIGIT_ZERO = 0x30;
const DIGIT_NINE = 0x39;

/** A stream that does not follow the engine's format. */
export class TokenFormatError extends Error {
  override name = "TokenFormatError";
}

/** Cuts byte chunks into events; keeps an unfinished event for later. */
export class TokenSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Returns the events that the chunk completes. */
  push(chunk: Uint8Array): TokenEvent[] {
    const arrived = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    const bytes = this.#rest.length === 0
      ? arrived
      : Buffer.concat([this.#rest, arrived]);
    const events: TokenEvent[] = [];
    let start = 0;
    for (
      let end = bytes.indexOf(SEPARATOR);
      end >= 0;
      end = bytes.indexOf(SEPARATOR, start)
    ) {
      const next = end + SEPARATOR.length;
      events.push(createEvent(bytes.subarray(start, next)));
      start = next;
    }
    this.#rest = bytes.subarray(start);
    return events;
  }
}

function createEvent(bytes: Buffer): TokenEvent {
  if (startsWith(bytes, END_PREFIX)) {
    return { index: END_INDEX, bytes };
  }
  if (!startsWith(bytes, ID_PREFIX)) {
    throw new TokenFormatError("expected an event that begins with its id");
  }
  return { index: readIndex(bytes), bytes };
}

function startsWith(bytes: Buffer, prefix: Buffer): boolean {
  return bytes.length >= prefix.length &&
    bytes.compare(prefix, 0, prefix.length, 0, prefix.length) === 0;
}

function readIndex(bytes: Buffer): number {
  let index = 0;
  let position = ID_PREFIX.length;
  for (; position < bytes.length; position++) {
    const digit = bytes[position]!;
    if (digit < DIGIT_ZERO || digit > DIGIT_NINE) {
      break;
    }
    index = index * 10 + digit - DIGIT_ZERO;
  }
  if (position === ID_PREFIX.length) {
    throw new TokenFormatError("expected a number as the event's id");
  }
  return index;
}
