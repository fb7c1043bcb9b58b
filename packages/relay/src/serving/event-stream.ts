/**
 * The events of one attempt at a stream.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { type EventBlock, EventSplitter } from "./event-splitter.ts";
import type { UpstreamResponse } from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";

/** An event holds at least one token; comments come beside them. */
const MAX_EVENTS_WITHOUT_TOKENS = 256;

/** Splits a response into events after the last one that was forwarded. */
export class EventStream {
  #request: RelayedRequest;
  #isFramed: boolean;
  #blocks: AsyncGenerator<EventBlock, void, void>;
  #ahead: EventBlock[] = [];

  constructor(
    request: RelayedRequest,
    { body, isFramed }: Pick<UpstreamResponse, "body" | "isFramed">,
  ) {
    this.#request = request;
    this.#isFramed = isFramed;
    this.#blocks = this.#split(body);
  }

  /** Waits for the first event, or the end; throws if neither comes. */
  async readAhead(): Promise<void> {
    for (;;) {
      const { value: block, done } = await this.#blocks.next();
      if (done === true) {
        return;
      }
      this.#ahead.push(block);
      if (block.lastId !== undefined || block.hasUnidentified) {
        return;
      }
    }
  }

  /** Yields all events; throws if the upstream interrupts the stream. */
  async *read(): AsyncGenerator<EventBlock, void, void> {
    yield* this.#ahead.splice(0);
    yield* this.#blocks;
  }

  /** Releases what is held of events that are not read. */
  close(): void {
    this.#blocks.return().catch(() => {});
  }

  async *#split(
    body: AsyncIterable<Buffer>,
  ): AsyncGenerator<EventBlock, void, void> {
    const { memory, metadata: { outputTokens }, lastEventId } = this.#request;
    const splitter = new EventSplitter(
      lastEventId,
      outputTokens > 0 ? outputTokens + MAX_EVENTS_WITHOUT_TOKENS : Infinity,
    );
    let hasEvents = false;
    let heldBytes = 0;
    try {
      for await (const chunk of body) {
        const block = splitter.push(chunk);
        memory.remove(heldBytes);
        heldBytes = splitter.pendingBytes;
        memory.add(heldBytes);
        if (block !== undefined) {
          hasEvents = true;
          yield block;
        }
      }
    } finally {
      memory.remove(heldBytes);
    }
    if (splitter.pendingBytes > 0) {
      throw new Error("the stream ended within an event");
    }
    if (!hasEvents && !this.#isFramed) {
      throw new Error("the connection ended before the first event");
    }
  }
}
