/**
 * Splits a stream of server-sent events into complete events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

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
  #pending: Buffer = Buffer.alloc(0);
  #lastId: number;
  #remainingEvents: number;

  /** A stream with more events than `maxEvents` may never end. */
  constructor(lastId: string | undefined, maxEvents = Infinity) {
    this.#remainingEvents = maxEvents;
    const sequence = Number(lastId ?? NaN);
    this.#lastId = Number.isNaN(sequence) ? -Infinity : sequence;
  }

  /** Whether an incomplete event is buffered. */
  get hasIncompleteEvent(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * Adds a chunk and returns the events that it completes; throws if the
   * buffered event is too large, if there are too many events, or if something
   * is no event, or has no id after one that has.
   */
  push(chunk: Buffer): EventBlock | undefined {
    const bytes = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const events: Buffer[] = [];
    let lastId: string | undefined;
    let hasUnidentified = false;
    let start = 0;
    for (
      let end = bytes.indexOf(EVENT_END);
      end !== -1;
      end = bytes.indexOf(EVENT_END, start)
    ) {
      const event = bytes.subarray(start, end + EVENT_END.length);
      start = end + EVENT_END.length;
      this.#remainingEvents--;
      if (this.#remainingEvents < 0) {
        throw new Error("the stream has more events than were asked for");
      }
      const { id, isComment } = this.#parse(event.toString("latin1"));
      if (this.#isNew(id)) {
        events.push(event);
        lastId = id ?? lastId;
        hasUnidentified ||= id === undefined && !isComment;
      }
    }
    this.#pending = bytes.subarray(start);
    if (this.#pending.length > MAX_EVENT_BYTES) {
      throw new Error(`the event is too large: over ${MAX_EVENT_BYTES} bytes`);
    }
    return events.length === 0 ? undefined : {
      bytes: Buffer.concat(events),
      count: events.length,
      lastId,
      hasUnidentified,
    };
  }

  /**
   * Parses an event. A faulty upstream may send an error, even with its head,
   * where an event is due.
   */
  #parse(event: string): ParsedEvent {
    const id = ID_LINE.exec(event)?.[1];
    const lines = event.trimEnd().split("\n");
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
