/**
 * Estimate of the rate at which each rank can be served.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { type Rank, RANKS, type Rules } from "@zinniahill/schema";

/** The weight of older tokens decays by a factor of e in this time. */
const DECAY_MS = 2000;
/** The rate is unknown until all permits were taken for this long. */
const MIN_FULL_MS = 200;

/** Rate of tokens, with older ones weighted less. */
class DecayingRate {
  #tokens = 0;
  #elapsedMs = 0;

  get tokensPerMs(): number {
    return this.#elapsedMs === 0 ? 0 : this.#tokens / this.#elapsedMs;
  }

  get elapsedMs(): number {
    return this.#elapsedMs;
  }

  add(tokens: number): void {
    this.#tokens += tokens;
  }

  advance(ms: number): void {
    const factor = Math.exp(-ms / DECAY_MS);
    this.#tokens *= factor;
    this.#elapsedMs = this.#elapsedMs * factor + ms;
  }
}

/**
 * Measures the rate of releases while all permits are taken, also when requests
 * are refused, and the rate of dispatches of each rank. The rate that a rank
 * can reach is derived from the order of the ranks, as its own dispatches say
 * nothing while it has little demand.
 */
export class ServiceRates {
  #clock: Clock;
  #updatedAt: number;
  #isFull = false;
  #releases = new DecayingRate();
  #ranks: Record<Rank, DecayingRate> = {
    urgent: new DecayingRate(),
    normal: new DecayingRate(),
    batch: new DecayingRate(),
  };

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /** Counts a request that receives a permit. */
  recordDispatch(rank: Rank, tokens: number): void {
    this.#advance();
    this.#ranks[rank].add(tokens);
  }

  /** Counts a request that releases its permit. */
  recordRelease(tokens: number): void {
    this.#advance();
    if (this.#isFull) {
      this.#releases.add(tokens);
    }
  }

  /** Sets whether all permits are taken. */
  setFull(isFull: boolean): void {
    this.#advance();
    this.#isFull = isFull;
  }

  /** Tokens per millisecond that a rank can reach; Infinity if unknown. */
  getAttainableRate(rank: Rank, rules: Rules): number {
    this.#advance();
    if (this.#releases.elapsedMs < MIN_FULL_MS) {
      return Infinity;
    }
    const total = this.#releases.tokensPerMs;
    let rate = total;
    for (const other of RANKS) {
      const used = this.#ranks[other].tokensPerMs;
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
    const elapsedMs = now - this.#updatedAt;
    this.#updatedAt = now;
    for (const rank of RANKS) {
      this.#ranks[rank].advance(elapsedMs);
    }
    if (this.#isFull) {
      this.#releases.advance(elapsedMs);
    }
  }
}
