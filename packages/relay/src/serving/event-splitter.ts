/**
 * Splits a stream of server-sent events into complete events.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { ByteBuffer } from "@zinniahill/clients";

/** Events that were completed by the same chunk. */
export interface EventBlock {
  readonly bytes: Buffer;
  readonly count: number;
  /** The id of the last event, if it has one. */
  readonly lastId: string | undefined;
  /** Whether one of the events, other than comments, has no id. */
  readonly hasUnidentified: boolean;
}

/** What the lines of an event say. */
interface ParsedEvent {
  readonly id: string | undefined;
  readonly isComment: boolean;
}

const EVENT_END = "\n\n";
const LINE_FEED = 0x0a;
/** Of more empty lines before an event, there may be no end. */
const MAX_EMPTY_LINES = 1024;
/** Events are a few hundred bytes; a larger one may never end. */
const MAX_EVENT_BYTES = 256 * 1024;
/** A comment, or a field; upstreams add fields of their own, with values. */
const EVENT_LINE = /^(?:(?:[a-z][a-z-]*)?:|(?:data|event|id|retry)?$)/;
const ID_LINE = /(?:^|\n)id:\s?([^\r\n]*)/;

/**
 * Buffers an incomplete event until it ends, and drops events that were already
 * forwarded.
 */
export class EventSplitter {
  #pending = new ByteBuffer();
  /** Bytes of the buffered event that do not hold its end. */
  #searchedBytes = 0;
  #lastId: number;
  #remainingEvents: number;

  /** A stream with more events than `maxEvents` may never end. */
  constructor(lastId: string | undefined, maxEvents = Infinity) {
    this.#remainingEvents = maxEvents;
    const sequence = Number(lastId ?? NaN);
    this.#lastId = Number.isNaN(sequence) ? -Infinity : sequence;
  }

  /** Bytes of the event that is not complete yet. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * Adds a chunk and returns the events that it completes; throws if the
   * buffered event is too large, if there are too many events, or if something
   * is no event, or has no id after one that has.
   */
  push(chunk: Buffer): EventBlock | undefined {
    this.#pending.append(chunk);
    const bytes = this.#pending.view;
    const events: Buffer[] = [];
    let lastId: string | undefined;
    let hasUnidentified = false;
    let start = 0;
    let searched = this.#searchedBytes;
    for (;;) {
      const lines = skipEmptyLines(bytes, start);
      const end = bytes.indexOf(EVENT_END, Math.max(lines, searched));
      if (end === -1) {
        break;
      }
      const next = end + EVENT_END.length;
      const { id, isComment } = this.#parse(
        bytes.toString("latin1", lines, end),
      );
      if (this.#isNew(id)) {
        events.push(bytes.subarray(start, next));
        lastId = id ?? lastId;
        hasUnidentified ||= id === undefined && !isComment;
      }
      start = next;
      searched = next;
    }
    const block = events.length === 0 ? undefined : {
      bytes: Buffer.concat(events),
      count: events.length,
      lastId,
      hasUnidentified,
    };
    this.#pending.consume(start);
    // The last byte may be the first half of the end.
    this.#searchedBytes = Math.max(0, this.#pending.length - 1);
    if (this.#pending.length > MAX_EVENT_BYTES) {
      throw new Error(`the event is too large: over ${MAX_EVENT_BYTES} bytes`);
    }
    return block;
  }

  /**
   * Parses an event. A faulty upstream may send an error, even with its head,
   * where an event is due.
   */
  #parse(event: string): ParsedEvent {
    this.#remainingEvents--;
    if (this.#remainingEvents < 0) {
      throw new Error("the stream has more events than were asked for");
    }
    const id = ID_LINE.exec(event)?.[1];
    const lines = event.split("\n");
    const isComment = lines.every((line) => line.startsWith(":"));
    const isEvent = lines.every((line) => EVENT_LINE.test(line));
    const isIdDue = this.#lastId !== -Infinity;
    if (!isComment && (!isEvent || (isIdDue && id === undefined))) {
      throw new Error("something else came where an event was due");
    }
    return { id, isComment };
  }

  #isNew(id: string | undefined): boolean {
    const sequence = Number(id);
    if (id === undefined || Number.isNaN(sequence)) {
      return true;
    }
    const isNew = sequence > this.#lastId;
    this.#lastId = Math.max(this.#lastId, sequence);
    return isNew;
  }
}

/** Returns the position of the first line at or after `start` with content. */
function skipEmptyLines(bytes: Buffer, start: number): number {
  let position = start;
  while (bytes[position] === LINE_FEED) {
    position++;
    if (position - start > MAX_EMPTY_LINES) {
      throw new Error("empty lines came where an event was due");
    }
  }
  return position;
}
