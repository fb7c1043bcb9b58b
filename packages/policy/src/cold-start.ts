/**
 * Whether one upstream process is cold, and how it warms up.
 *
 * @module
 */

/** `warming` begins when the cold time ends, and ends with enough answers. */
export type ColdPhase = "cold" | "warming" | "warm";

/** How far the clocks of two hosts may be apart. */
const MAX_CLOCK_SKEW_MS = 5000;
/** The rate doubles with each answer; 64 times the cold rate is no limit. */
const ANSWERS_UNTIL_WARM = 6;

/**
 * The state of one process, as known to one node. A process is cold while it
 * says so, and for one cold time after an event that leaves its state unknown,
 * unless it says otherwise after that event.
 */
export class ColdStart {
  #durationMs: number;
  /** Until when the process is cold, by its own statement. */
  #statedUntil = -Infinity;
  /** The last event that left the state unknown. */
  #doubtedAt = -Infinity;
  #isUnknown = false;
  #answers = ANSWERS_UNTIL_WARM;

  constructor(durationMs: number) {
    this.#durationMs = durationMs;
  }

  /** Whether the process has said nothing since its state became unknown. */
  get isUnknown(): boolean {
    return this.#isUnknown;
  }

  /** Factor by which the rate has grown since the cold time. */
  get growth(): number {
    return 2 ** this.#answers;
  }

  /**
   * Whether a process of this age may still be in its cold time; the age is
   * computed from the clocks of two hosts.
   */
  mayBeStarting(processAgeMs: number): boolean {
    return processAgeMs <= this.#durationMs + MAX_CLOCK_SKEW_MS;
  }

  /**
   * Records an event after which statements from before it do not count; false
   * if this or a later one was recorded before.
   */
  doubt(at: number): boolean {
    if (at <= this.#doubtedAt) {
      return false;
    }
    this.#doubtedAt = at;
    this.#isUnknown = true;
    this.#answers = 0;
    return true;
  }

  /**
   * Applies the time for which the process remains cold, which it stated at
   * `statedAt` or later.
   */
  applyStatement(coldLeftMs: number, statedAt: number, now: number): void {
    if (coldLeftMs > 0) {
      this.#statedUntil = now + coldLeftMs;
      this.#isUnknown = false;
      this.#answers = 0;
    } else if (statedAt >= this.#doubtedAt) {
      if (this.#isUnknown && this.#statedUntil <= now) {
        this.#answers = ANSWERS_UNTIL_WARM;
      }
      this.#isUnknown = false;
      this.#statedUntil = Math.min(this.#statedUntil, now);
    }
  }

  /** Counts a request that the process has served. */
  recordAnswer(now: number): void {
    if (this.findPhase(now) === "warming") {
      this.#answers++;
    }
  }

  findPhase(now: number): ColdPhase {
    const unknownUntil = this.#isUnknown
      ? this.#doubtedAt + this.#durationMs
      : -Infinity;
    if (now < Math.max(this.#statedUntil, unknownUntil)) {
      return "cold";
    }
    return this.#answers < ANSWERS_UNTIL_WARM ? "warming" : "warm";
  }
}
