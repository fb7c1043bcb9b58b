/**
 * How many retries the first attempts of a rank allow.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import { type Rank, type RankRule, RANKS } from "@zinniahill/schema";

/** Retries that may be saved up, and that a quiet node may start with. */
const MAX_SAVED_RETRIES = 10;
const BACKOFF_BASE_MS = 50;
const BACKOFF_LIMIT_MS = 2000;

/** A budget of retries for each rank, as a share of first attempts. */
export class RetryBudget {
  #readRule: (rank: Rank) => Pick<RankRule, "retries">;
  #random: Random;
  #saved = new Map<Rank, number>(
    RANKS.map((rank) => [rank, MAX_SAVED_RETRIES]),
  );

  constructor(
    readRule: (rank: Rank) => Pick<RankRule, "retries">,
    random: Random,
  ) {
    this.#readRule = readRule;
    this.#random = random;
  }

  /** Notes a first attempt, which adds the rank's share of a retry. */
  deposit(rank: Rank): void {
    const saved = this.#saved.get(rank)! + this.#readRule(rank).retries;
    this.#saved.set(rank, Math.min(MAX_SAVED_RETRIES, saved));
  }

  /** Takes one retry from the budget; false when there is none. */
  tryWithdraw(rank: Rank): boolean {
    const saved = this.#saved.get(rank)!;
    if (saved < 1) {
      return false;
    }
    this.#saved.set(rank, saved - 1);
    return true;
  }

  /** Takes a retry for a second attempt that runs beside the first. */
  tryWithdrawHedge(rank: Rank, isIdempotent: boolean): boolean {
    return rank === "urgent" && isIdempotent && this.tryWithdraw(rank);
  }

  /** The pause before an attempt, with full jitter; the first has number 1. */
  drawBackoffMs(retry: number): number {
    const limit = Math.min(
      BACKOFF_LIMIT_MS,
      BACKOFF_BASE_MS * 2 ** (retry - 1),
    );
    return this.#random.fraction() * limit;
  }
}
