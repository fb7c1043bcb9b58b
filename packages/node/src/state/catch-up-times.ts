/**
 * When reads of the control stream reached its end.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Settings } from "@zinniahill/schema";

/** Keeps the times of the last two reads that reached the end. */
export class CatchUpTimes {
  #clock: Clock;
  #longestMs: number;
  #last = -Infinity;
  #secondLast = -Infinity;

  constructor(clock: Clock, { platform }: Settings) {
    this.#clock = clock;
    this.#longestMs = platform["log-poll"] + platform["log-timeout"];
  }

  /**
   * Notes a read that reached the end. A reply that a paused process receives
   * late shows the stream as of the longest duration of a read at most.
   */
  record(sentAt: number): void {
    this.#secondLast = this.#last;
    this.#last = Math.min(this.#clock.now(), sentAt + this.#longestMs);
  }

  /** The time of the read before the last one; -Infinity without one. */
  get secondLast(): number {
    return this.#secondLast;
  }
}
