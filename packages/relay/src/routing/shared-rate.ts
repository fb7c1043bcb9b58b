/**
 * One node's part of a request rate that all nodes share.
 *
 * The nodes exchange no counts. Each issues itself permits at an equal part of
 * the rate, and the first permits of the nodes are spread over one interval. A
 * permit lapses if it is not used in time. So after a calm, many nodes do not
 * hold one permit each, which they could all use at once.
 *
 * @module
 */

/** Permits that are valid at the same time are this share of a second's. */
const VALIDITY_MS = 1000;
/** At low rates, so many more permits are valid at the same time. */
const MIN_VALID_PERMITS = 2;
/** Less urgent requests take a permit that others have left for so long. */
const RESERVED_SHARE = 0.5;
const MS_PER_SECOND = 1000;

/** The part of a rate that falls to this node. */
export interface RateShare {
  /** Requests a second of all nodes together. */
  readonly perSecond: number;
  readonly nodes: number;
}

/** Permits of one node for one upstream. */
export class SharedRate {
  #share: RateShare;
  /** Time of issue of the oldest unused permit, or else of the next one. */
  #permitAt: number;

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
    const reservedMs = isDeferrable ? this.#validityMs * RESERVED_SHARE : 0;
    return this.#share.perSecond > 0 && now >= this.#permitAt + reservedMs;
  }

  /** Uses the oldest permit. */
  take(now: number): void {
    if (this.#share.perSecond === 0) {
      return;
    }
    this.#dropLapsed(now);
    this.#permitAt += computeIntervalMs(this.#share);
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

  #dropLapsed(now: number): void {
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
