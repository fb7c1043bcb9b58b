/**
 * Splits a stream of server-sent events into whole events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Events that were completed together. */
export interface EventBlock {
  readonly bytes: Buffer;
  readonly count: number;
  /** The id of the last event, if it has one. */
  readonly lastId: string | undefined;
}

const EVENT_END = "\n\n";
/** Events are a few hundred bytes; a longer one may be filler without end. */
const MAX_EVENT_BYTES = 256 * 1024;
const ID_LINE = /(?:^|\n)id:\s?([^\r\n]*)/;

/**
 * Holds back the part of an event that has not ended, and drops events that
 * were already passed on.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
  #lastId: number;

  constructor(lastId: string | undefined) {
    this.#lastId = lastId === undefined ? -Infinity : Number(lastId);
  }

  /** Whether an event has begun and not ended. */
  get isInsideEvent(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes the events that a chunk completes; fails inside an endless one. */
  push(chunk: Buffer): EventBlock | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const events: Buffer[] = [];
    let lastId: string | undefined;
    let begin = 0;
    for (
      let end = bytes.indexOf(EVENT_END);
      end !== -1;
      end = bytes.indexOf(EVENT_END, begin)
    ) {
      const event = bytes.subarray(begin, end + EVENT_END.length);
      begin = end + EVENT_END.length;
      const id = ID_LINE.exec(event.toString("latin1"))?.[1];
      if (this.#isNew(id)) {
        events.push(event);
        lastId = id ?? lastId;
      }
    }
    this.#rest = bytes.subarray(begin);
    if (this.#rest.length > MAX_EVENT_BYTES) {
      throw new Error(`the event is too large: over ${MAX_EVENT_BYTES} bytes`);
    }
    return events.length === 0
      ? undefined
      : { bytes: Buffer.concat(events), count: events.length, lastId };
  }

  #isNew(id: string | undefined): boolean {
    const number = Number(id);
    if (id === undefined || Number.isNaN(number)) {
      return true;
    }
    const isNew = number > this.#lastId;
    this.#lastId = Math.max(this.#lastId, number);
    return isNew;
  }
}
