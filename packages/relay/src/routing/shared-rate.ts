/**
 * One node's part of a request rate that all nodes share.
 *
 * The nodes exchange no counts. Each issues itself permits at an equal part of
 * the rate, and the first permits of the nodes are spread over one interval. A
 * permit lapses if it is not used in time. So after a calm, many nodes do not
 * hold one permit each, which they could all use at once. Where the requests of
 * a short window are bounded, permits are spaced, and only as many nodes get any
 * as may use one at the same time.
 *
 * @module
 */

/** Permits that are valid at the same time are this share of a second's. */
const VALIDITY_MS = 1000;
/** At low rates, so many more permits are valid at the same time. */
const MIN_VALID_PERMITS = 2;
/** Less urgent requests take a permit that others have left for so long. */
const RESERVED_SHARE = 0.5;
/**
 * Of spaced permits, each fourth is open to all requests at once. They do not
 * lapse, so urgent requests could otherwise take all of them.
 */
const OPEN_PERMIT_INTERVAL = 4;
const MS_PER_SECOND = 1000;

/** The part of a rate that falls to this node. */
export interface RateShare {
  /** Requests a second of all nodes together. */
  readonly perSecond: number;
  readonly nodes: number;
  /**
   * Whether the next permit is issued a whole interval after the last one was
   * used, and does not lapse. That bounds the requests of each window whatever
   * the times at which the nodes begin.
   */
  readonly isSpaced?: boolean;
}

/** Permits of one node for one upstream. */
export class SharedRate {
  #share: RateShare;
  /** Time of issue of the oldest unused permit, or else of the next one. */
  #permitAt: number;
  #takenCount = 0;

  /** `position` from 0 to 1 is the node's place among all nodes. */
  constructor(share: RateShare, position: number, now: number) {
    this.#share = share;
    const intervalMs = computeIntervalMs(share);
    this.#permitAt = Number.isFinite(intervalMs)
      ? now + position * intervalMs
      : now;
  }

  get perSecond(): number {
    return this.#share.perSecond;
  }

  /** Changes the share; permits that have been issued stay as they are. */
  update(share: RateShare): void {
    this.#share = share;
  }

  /** Whether a request may be sent; less urgent ones leave permits to others. */
  hasPermit(now: number, isDeferrable: boolean): boolean {
    this.#dropLapsed(now);
    const reservedMs = isDeferrable ? this.#reservedMs : 0;
    return this.#share.perSecond > 0 && now >= this.#permitAt + reservedMs;
  }

  /** Uses the oldest permit. */
  take(now: number): void {
    if (this.#share.perSecond === 0) {
      return;
    }
    this.#dropLapsed(now);
    this.#takenCount++;
    const issuedAt = this.#share.isSpaced
      ? Math.max(this.#permitAt, now)
      : this.#permitAt;
    this.#permitAt = issuedAt + computeIntervalMs(this.#share);
  }

  /** Time until a request may be sent; infinite if none ever may. */
  msUntilPermit(now: number): number {
    this.#dropLapsed(now);
    return this.#share.perSecond > 0
      ? Math.max(0, this.#permitAt - now)
      : Infinity;
  }

  get #validityMs(): number {
    return VALIDITY_MS +
      MIN_VALID_PERMITS * MS_PER_SECOND / this.#share.perSecond;
  }

  get #reservedMs(): number {
    if (!this.#share.isSpaced) {
      return this.#validityMs * RESERVED_SHARE;
    }
    return this.#takenCount % OPEN_PERMIT_INTERVAL === 0
      ? 0
      : computeIntervalMs(this.#share) * RESERVED_SHARE;
  }

  #dropLapsed(now: number): void {
    if (this.#share.isSpaced) {
      return;
    }
    const intervalMs = computeIntervalMs(this.#share);
    const lapsedMs = now - this.#validityMs - this.#permitAt;
    if (lapsedMs > 0 && Number.isFinite(intervalMs)) {
      this.#permitAt += Math.ceil(lapsedMs / intervalMs) * intervalMs;
    }
  }
}

function computeIntervalMs({ perSecond, nodes }: RateShare): number {
  return MS_PER_SECOND * nodes / perSecond;
}
