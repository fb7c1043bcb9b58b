/**
 * How many repeats the requests of a service allow, over all nodes together.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** The shared budget and this node's part of it. */
export interface RetryLimits {
  /** Repeats allowed for each first attempt. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats allowed besides in one window, over all nodes. */
  readonly allowance: number;
}

interface Bucket {
  readonly startedAt: number;
  first: number;
  repeats: number;
}

const BUCKETS_PER_WINDOW = 20;
/** Part of the budget that is used, as attempts are counted where they end. */
const USED_SHARE = 0.8;

/**
 * Counts attempts in a sliding window. Each node uses the share of its own
 * first attempts and an equal part of the allowance, so that no message is
 * needed to keep the sum.
 */
export class RetryBudget {
  #clock: Clock;
  #limits: RetryLimits;
  #countNodes: () => number;
  #services = new Map<string, Bucket[]>();

  constructor(clock: Clock, limits: RetryLimits, countNodes: () => number) {
    this.#clock = clock;
    this.#limits = limits;
    this.#countNodes = countNodes;
  }

  /** Counts a first attempt. */
  deposit(service: string): void {
    this.#openBucket(service).first++;
  }

  /** Takes one repeat; false when none is left. */
  tryWithdraw(service: string): boolean {
    const bucket = this.#openBucket(service);
    const buckets = this.#services.get(service)!;
    const first = buckets.reduce((sum, { first }) => sum + first, 0);
    const repeats = buckets.reduce((sum, { repeats }) => sum + repeats, 0);
    const { ratio, allowance } = this.#limits;
    const limit = ratio * first + allowance / this.#countNodes();
    if (repeats + 1 > limit * USED_SHARE) {
      return false;
    }
    bucket.repeats++;
    return true;
  }

  dump(): unknown {
    return Object.fromEntries(
      [...this.#services].map(([service, buckets]) => [service, {
        first: buckets.reduce((sum, { first }) => sum + first, 0),
        repeats: buckets.reduce((sum, { repeats }) => sum + repeats, 0),
      }]),
    );
  }

  #openBucket(service: string): Bucket {
    const now = this.#clock.now();
    const { windowMs } = this.#limits;
    const widthMs = windowMs / BUCKETS_PER_WINDOW;
    const buckets = (this.#services.get(service) ?? [])
      .filter(({ startedAt }) => now - startedAt < windowMs + widthMs);
    let last = buckets.at(-1);
    if (last === undefined || now - last.startedAt >= widthMs) {
      last = { startedAt: now, first: 0, repeats: 0 };
      buckets.push(last);
    }
    this.#services.set(service, buckets);
    return last;
  }
}
