/**
 * Times at which reads of the control stream reached its end.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Settings } from "@zinniahill/schema";

/** The times of the last two reads that reached the end. */
export class CatchUpTimes {
  #clock: Clock;
  #maxReadMs: number;
  #last = -Infinity;
  #secondLast = -Infinity;

  constructor(clock: Clock, { platform }: Settings) {
    this.#clock = clock;
    this.#maxReadMs = platform["log-poll"] + platform["log-timeout"];
  }

  /**
   * Records a read that reached the end. A paused process may receive the reply
   * late. The time is therefore limited to the longest duration of a read after
   * the request: the reply cannot show a later state of the stream.
   */
  record(sentAt: number): void {
    this.#secondLast = this.#last;
    this.#last = Math.min(this.#clock.now(), sentAt + this.#maxReadMs);
  }

  /** The time of the second-to-last read; -Infinity if there was none. */
  get secondLast(): number {
    return this.#secondLast;
  }
}
