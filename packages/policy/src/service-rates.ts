/**
 * How fast each rank can be served.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { type Rank, RANKS, type Rules } from "@zinniahill/schema";

/** Older dispatches count less, by a factor of e in this time. */
const MEMORY_MS = 2000;
/** The rate is unknown until all places were taken for this long. */
const MIN_FULL_MS = 200;

/** Tokens over time, with older ones counted less. */
class DecayingRate {
  #tokens = 0;
  #elapsedMs = 0;

  get perMs(): number {
    return this.#elapsedMs === 0 ? 0 : this.#tokens / this.#elapsedMs;
  }

  get elapsedMs(): number {
    return this.#elapsedMs;
  }

  note(tokens: number): void {
    this.#tokens += tokens;
  }

  advance(ms: number): void {
    const kept = Math.exp(-ms / MEMORY_MS);
    this.#tokens *= kept;
    this.#elapsedMs = this.#elapsedMs * kept + ms;
  }
}

/**
 * Measures the rate of all releases while every place is taken, which goes on
 * when requests are refused, and the dispatches of each rank.
 * The rate that a rank can reach follows from the order of ranks: what its own
 * dispatches were says nothing when few of them were asked for.
 */
export class ServiceRates {
  #clock: Clock;
  #updatedAt: number;
  #isFull = false;
  #total = new DecayingRate();
  #ranks: Record<Rank, DecayingRate> = {
    urgent: new DecayingRate(),
    normal: new DecayingRate(),
    batch: new DecayingRate(),
  };

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /** Counts a request that gets a place. */
  noteDispatch(rank: Rank, tokens: number): void {
    this.#advance();
    this.#ranks[rank].note(tokens);
  }

  /** Counts a request that gives its place back. */
  noteRelease(tokens: number): void {
    this.#advance();
    if (this.#isFull) {
      this.#total.note(tokens);
    }
  }

  /** Says whether all places are taken now. */
  setFull(isFull: boolean): void {
    this.#advance();
    this.#isFull = isFull;
  }

  /** Tokens a millisecond that a rank can reach; Infinity when unknown. */
  getAttainable(rank: Rank, rules: Rules): number {
    this.#advance();
    if (this.#total.elapsedMs < MIN_FULL_MS) {
      return Infinity;
    }
    const total = this.#total.perMs;
    let rate = total;
    for (const other of RANKS) {
      const used = this.#ranks[other].perMs;
      const isAhead = rules.ranks[other].worth > rules.ranks[rank].worth;
      if (other !== rank) {
        const floor = rules.ranks[other].floor * total;
        rate -= isAhead ? used : Math.min(used, floor);
      }
    }
    return Math.max(rate, rules.ranks[rank].floor * total, Number.EPSILON);
  }

  #advance(): void {
    const now = this.#clock.now();
    const elapsed = now - this.#updatedAt;
    this.#updatedAt = now;
    for (const rank of RANKS) {
      this.#ranks[rank].advance(elapsed);
    }
    if (this.#isFull) {
      this.#total.advance(elapsed);
    }
  }
}
