/**
 * Forwards the events of a stream to its caller, over all its attempts.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Quarantine } from "../routing/quarantine.ts";
import type { OpenAttempt } from "./attempt-sender.ts";
import { EventStream } from "./event-stream.ts";
import type { RelayedRequest } from "./relayed-request.ts";
import { waitForDrain, writeStreamHead } from "./response-writer.ts";

/** An upstream that runs on for so long does not crash on the prompt. */
const PROOF_MS = 200;

/** The caller's view of one stream. */
export class EventForwarder {
  #clock: Clock;
  #quarantine: Quarantine;
  #request: RelayedRequest;
  #firstByteAt: number | undefined;
  #lastEventAt: number | undefined;
  #eventCount = 0;
  #longestGapMs = 0;
  /** Arrival of the first event of the current attempt. */
  #answeredAt: number | undefined;
  #isProven = false;

  constructor(clock: Clock, quarantine: Quarantine, request: RelayedRequest) {
    this.#clock = clock;
    this.#quarantine = quarantine;
    this.#request = request;
  }

  get firstByteAt(): number | undefined {
    return this.#firstByteAt;
  }

  /** Events that the caller has received. */
  get eventCount(): number {
    return this.#eventCount;
  }

  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /** Whether the current attempt showed that its upstream can answer it. */
  get isProven(): boolean {
    return this.#isProven;
  }

  /** Forwards all events; throws if the upstream interrupts the stream. */
  async forward(attempt: OpenAttempt): Promise<void> {
    const { upstreamResponse, outstandingRequest } = attempt;
    const { response } = this.#request;
    const events = attempt.events ??
      new EventStream(this.#request, upstreamResponse);
    this.#answeredAt = undefined;
    this.#isProven = false;
    for await (const block of events.read()) {
      outstandingRequest.recordEvent();
      if (!this.#cancelReplacement()) {
        // The replacement goes on from the events before this block.
        continue;
      }
      if (!response.headersSent) {
        writeStreamHead(response, upstreamResponse);
      }
      this.#recordEvents(block.count);
      this.#request.lastEventId = block.lastId ?? this.#request.lastEventId;
      this.#request.canResume &&= !block.hasUnidentified;
      if (!response.write(block.bytes)) {
        await this.#waitForCaller(attempt);
      }
    }
    if (!response.headersSent) {
      writeStreamHead(response, upstreamResponse);
    }
    this.#prove(this.#answeredAt ?? this.#clock.now());
  }

  /** Returns false if a replacement is answering, which ends this attempt. */
  #cancelReplacement(): boolean {
    const { replacement } = this.#request;
    if (replacement?.tryCancel() === false) {
      return false;
    }
    this.#request.replacement = undefined;
    return true;
  }

  /**
   * Waits until the caller has read what was written. Nothing is read from the
   * upstream meanwhile, so its silence says nothing about the group.
   */
  async #waitForCaller(
    { exchange, outstandingRequest }: OpenAttempt,
  ): Promise<void> {
    const { memory, response } = this.#request;
    const unreadBytes = response.writableLength;
    memory.add(unreadBytes);
    outstandingRequest.pause();
    const failure = await Promise.race([
      waitForDrain(response),
      exchange.ended,
    ]);
    outstandingRequest.resume();
    memory.remove(unreadBytes);
    if (failure !== undefined) {
      throw failure;
    }
  }

  #recordEvents(count: number): void {
    const now = this.#clock.now();
    const gapMs = now - (this.#lastEventAt ?? now);
    this.#eventCount += count;
    this.#firstByteAt ??= now;
    this.#lastEventAt = now;
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.#answeredAt ??= now;
    if (now - this.#answeredAt >= PROOF_MS) {
      this.#prove(this.#answeredAt);
    }
  }

  /** Records once for each attempt that the upstream has answered it. */
  #prove(answeredAt: number): void {
    if (!this.#isProven) {
      this.#isProven = true;
      this.#quarantine.recordAnswer(this.#request, answeredAt);
    }
  }
}
