/**
 * A limit on the retries of each service's requests, over all nodes together.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** The budget of all nodes together. */
export interface RetryLimits {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries allowed in one window, over all nodes. */
  readonly allowance: number;
}

interface Bucket {
  readonly startedAt: number;
  firstAttempts: number;
  retries: number;
}

const BUCKETS_PER_WINDOW = 20;
/** The rest of the budget is a margin: attempts are counted where they end. */
const USABLE_SHARE = 0.8;

/**
 * Counts attempts in a sliding window. Each node may use the part of the budget
 * that its own first attempts earn, and an equal part of the allowance, so that
 * nodes keep the common limit without exchanging messages.
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
    this.#currentBucket(service).firstAttempts++;
  }

  /** Takes one retry from the budget; false if none is left. */
  tryWithdraw(service: string): boolean {
    const bucket = this.#currentBucket(service);
    const buckets = this.#services.get(service)!;
    const firstAttempts = buckets.reduce(
      (sum, { firstAttempts }) => sum + firstAttempts,
      0,
    );
    const retries = buckets.reduce((sum, { retries }) => sum + retries, 0);
    const { ratio, allowance } = this.#limits;
    const limit = ratio * firstAttempts + allowance / this.#countNodes();
    if (retries + 1 > limit * USABLE_SHARE) {
      return false;
    }
    bucket.retries++;
    return true;
  }

  dump(): unknown {
    return Object.fromEntries(
      [...this.#services].map(([service, buckets]) => [service, {
        first: buckets.reduce(
          (sum, { firstAttempts }) => sum + firstAttempts,
          0,
        ),
        repeats: buckets.reduce((sum, { retries }) => sum + retries, 0),
      }]),
    );
  }

  #currentBucket(service: string): Bucket {
    const now = this.#clock.now();
    const { windowMs } = this.#limits;
    const bucketMs = windowMs / BUCKETS_PER_WINDOW;
    const buckets = (this.#services.get(service) ?? [])
      .filter(({ startedAt }) => now - startedAt < windowMs + bucketMs);
    let last = buckets.at(-1);
    if (last === undefined || now - last.startedAt >= bucketMs) {
      last = { startedAt: now, firstAttempts: 0, retries: 0 };
      buckets.push(last);
    }
    this.#services.set(service, buckets);
    return last;
  }
}
