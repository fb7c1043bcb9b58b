/**
 * Budget of retries for each rank.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import { type Rank, type RankRule, RANKS } from "@zinniahill/schema";

/** Retries that a rank may save up, and that it starts with. */
const MAX_SAVED_RETRIES = 10;
const BACKOFF_BASE_MS = 50;
const MAX_BACKOFF_MS = 2000;

/** Limits the retries of each rank to a share of its first attempts. */
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

  /** Adds the rank's share of a retry for a first attempt. */
  deposit(rank: Rank): void {
    const saved = this.#saved.get(rank)! + this.#readRule(rank).retries;
    this.#saved.set(rank, Math.min(MAX_SAVED_RETRIES, saved));
  }

  /** Takes one retry from the budget; false if there is none. */
  tryWithdraw(rank: Rank): boolean {
    const saved = this.#saved.get(rank)!;
    if (saved < 1) {
      return false;
    }
    this.#saved.set(rank, saved - 1);
    return true;
  }

  /** Takes a retry for a second attempt that runs in parallel. */
  tryWithdrawHedge(rank: Rank, isIdempotent: boolean): boolean {
    return rank === "urgent" && isIdempotent && this.tryWithdraw(rank);
  }

  /** Draws a backoff with full jitter; the first retry has number 1. */
  drawBackoffMs(retry: number): number {
    const limitMs = Math.min(
      MAX_BACKOFF_MS,
      BACKOFF_BASE_MS * 2 ** (retry - 1),
    );
    return this.#random.fraction() * limitMs;
  }
}
