/**
 * Admission control: which request runs next, and which is refused at once.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { type Rank, RANKS, Refusal, type Rules } from "@zinniahill/schema";
import { Result } from "true-myth";
import { FairQueue } from "./fair-queue.ts";
import { FirstTokenLatency } from "./first-token-latency.ts";
import type { AdmissionRequest, Permit } from "./permit.ts";
import { ServiceRates } from "./service-rates.ts";
import {
  createOverloadRefusal,
  createRankTable,
  type PermitState,
  type Waiter,
} from "./waiter.ts";

/** Dependencies of admission control. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly rules: () => Rules | undefined;
  /** Returns how many requests may be in flight. */
  readonly capacity: () => number;
}

/**
 * Share of the capacity that is used. Load never spreads quite evenly, and a
 * group with a queue delays first tokens: under the heaviest overloads, 10 of
 * 30 runs missed the target of urgent requests at 0.95, and none at 0.92.
 */
const CAPACITY_SHARE = 0.92;
/**
 * Share of the first-token target that a request may always wait. Without it,
 * slow first tokens would cause every request to be refused, and no new sample
 * could correct the estimate.
 */
const MIN_WAIT_SHARE = 0.3;
/** A request that has yielded this often keeps its permit until it ends. */
const MAX_YIELDS = 2;

/** Admits requests by rank and by client account while capacity is free. */
export class Admission {
  #options: AdmissionOptions;
  #queues = createRankTable(() => new FairQueue<Waiter>());
  #waiters = createRankTable(() => new Set<Waiter>());
  #rates: ServiceRates;
  #inFlight = createRankTable(() => 0);
  #permits = new Set<PermitState>();
  #firstTokenLatency = new FirstTokenLatency();
  #cancelExpiry: (() => void) | undefined;

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#rates = new ServiceRates(options.clock);
  }

  /** The number of requests that hold a permit. */
  get inFlight(): number {
    return RANKS.reduce((sum, rank) => sum + this.#inFlight[rank], 0);
  }

  /** Requests that may be in flight now. */
  get limit(): number {
    return Math.max(
      1,
      Math.ceil(this.#options.capacity() * CAPACITY_SHARE),
    );
  }

  /** The number of waiting requests of a rank. */
  countWaiting(rank: Rank): number {
    return this.#queues[rank].size;
  }

  /** Waits for a permit; refuses at once when the wait would be too long. */
  admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const rules = this.#options.rules();
    if (rules === undefined) {
      return Promise.resolve(Result.err(
        new Refusal("no-configuration", "not-run", "no configuration is known"),
      ));
    }
    const weight = rules.accounts.get(request.account)?.weight ?? 1;
    const targetMs = rules.ranks[request.rank]["first-token"];
    const maxWaitMs = Math.max(
      targetMs * MIN_WAIT_SHARE,
      targetMs - this.#firstTokenLatency.estimateP99Ms(request.rank),
    );
    const expectedMs = this.#estimateWaitMs(request, weight, rules);
    if (expectedMs > maxWaitMs) {
      return Promise.resolve(Result.err(createOverloadRefusal(
        request.rank,
        expectedMs,
        "not-run",
      )));
    }
    return this.#enqueue(request, weight, maxWaitMs, 0, signal);
  }

  #enqueue(
    request: AdmissionRequest,
    weight: number,
    maxWaitMs: number,
    yieldCount: number,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const { account, rank, tokens } = request;
    const expiresAt = this.#options.clock.now() + maxWaitMs;
    const verdict = yieldCount > 0 ? "may-have-run" : "not-run";
    return new Promise((resolve) => {
      const onAbort = () => {
        this.#removeWaiter(waiter);
        settle(
          Result.err(
            new Refusal(
              "deadline",
              verdict,
              "the request was cancelled while it waited",
            ),
          ),
        );
      };
      const settle = (result: Result<Permit, Refusal>) => {
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      };
      const waiter: Waiter = {
        account,
        rank,
        cost: tokens,
        weight,
        expiresAt,
        yieldCount,
        settle,
        verdict,
      };
      if (signal.aborted) {
        onAbort();
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#queues[rank].add(waiter, weight);
      this.#waiters[rank].add(waiter);
      this.#admitWaiting();
    });
  }

  /** Estimates how long a new request of an account waits. */
  #estimateWaitMs(
    request: AdmissionRequest,
    weight: number,
    rules: Rules,
  ): number {
    const { account, rank, tokens } = request;
    const queue = this.#queues[rank];
    if (queue.size === 0 && this.inFlight < this.limit) {
      return 0;
    }
    const tokensAhead = queue.countTokensAhead(account, weight);
    return (tokensAhead + tokens) / this.#rates.getAttainableRate(rank, rules);
  }

  #admitWaiting(): void {
    const rules = this.#options.rules();
    if (rules === undefined) {
      return;
    }
    const limit = this.limit;
    for (;;) {
      const rank = this.#findNextRank(rules);
      if (rank === undefined) {
        break;
      }
      if (
        this.inFlight >= limit && !this.#revokeBatchPermit(rank, rules, limit)
      ) {
        break;
      }
      this.#grantPermit(
        this.#queues[rank].take()!,
        this.#isBelowFloor(rank, rules),
      );
    }
    this.#rates.setFull(this.inFlight >= limit);
    this.#scheduleExpiry();
  }

  /** A rank below its floor goes first, then the rank of the highest worth. */
  #findNextRank(rules: Rules): Rank | undefined {
    const waiting = RANKS.filter((rank) => this.#queues[rank].size > 0);
    const below = waiting.find((rank) => this.#isBelowFloor(rank, rules));
    return below ?? waiting.reduce<Rank | undefined>(
      (best, rank) =>
        best === undefined || rules.ranks[rank].worth > rules.ranks[best].worth
          ? rank
          : best,
      undefined,
    );
  }

  /** Makes the latest batch request yield, while batch is above its floor. */
  #revokeBatchPermit(rank: Rank, rules: Rules, limit: number): boolean {
    const batchFloor = Math.ceil(rules.ranks.batch.floor * limit);
    if (rank !== "urgent" || this.#inFlight.batch <= batchFloor) {
      return false;
    }
    const state = [...this.#permits].findLast(({ waiter, canYield }) =>
      canYield && waiter.rank === "batch" && waiter.yieldCount < MAX_YIELDS
    );
    if (state === undefined) {
      return false;
    }
    this.#freePermit(state);
    state.yieldController.abort();
    return true;
  }

  #isBelowFloor(rank: Rank, rules: Rules): boolean {
    const floor = Math.ceil(rules.ranks[rank].floor * this.limit);
    return this.#inFlight[rank] < floor;
  }

  #grantPermit(waiter: Waiter, isBelowFloor: boolean): void {
    const { rank } = waiter;
    this.#waiters[rank].delete(waiter);
    this.#inFlight[rank]++;
    this.#rates.recordDispatch(rank, waiter.cost);
    const state: PermitState = {
      waiter,
      admittedAt: this.#options.clock.now(),
      priority: isBelowFloor ? 0 : RANKS.indexOf(rank),
      yieldController: new AbortController(),
      isInFlight: true,
      canYield: false,
      isReleased: false,
      hasFirstToken: false,
    };
    this.#permits.add(state);
    waiter.settle(Result.ok(this.#createPermit(state)));
  }

  #createPermit(state: PermitState): Permit {
    const { waiter } = state;
    return {
      priority: state.priority,
      get yieldSignal() {
        state.canYield = true;
        return state.yieldController.signal;
      },
      resume: (signal) => this.#resume(state, signal),
      recordFirstToken: () => {
        if (state.isInFlight && !state.hasFirstToken) {
          state.hasFirstToken = true;
          const latencyMs = this.#options.clock.now() - state.admittedAt;
          this.#firstTokenLatency.record(waiter.rank, latencyMs);
        }
      },
      release: (tokens) => {
        if (state.isInFlight) {
          this.#rates.recordRelease(waiter.cost);
          this.#freePermit(state);
          this.#admitWaiting();
        }
        if (!state.isReleased) {
          state.isReleased = true;
          this.#queues[waiter.rank].end(waiter, tokens);
        }
      },
    };
  }

  #resume(
    state: PermitState,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const { account, rank, cost, weight, yieldCount } = state.waiter;
    const maxWaitMs = this.#options.rules()?.ranks[rank]["first-token"] ?? 0;
    return this.#enqueue(
      { account, rank, tokens: cost },
      weight,
      maxWaitMs,
      yieldCount + 1,
      signal,
    );
  }

  #freePermit(state: PermitState): void {
    state.isInFlight = false;
    this.#inFlight[state.waiter.rank]--;
    this.#permits.delete(state);
  }

  #removeWaiter(waiter: Waiter): void {
    this.#waiters[waiter.rank].delete(waiter);
    this.#queues[waiter.rank].remove(waiter);
  }

  /** Sets one timer for all waiters; within a rank the first expires first. */
  #scheduleExpiry(): void {
    this.#cancelExpiry?.();
    this.#cancelExpiry = undefined;
    const { clock } = this.#options;
    let nextExpiry = Infinity;
    for (const rank of RANKS) {
      const [first] = this.#waiters[rank];
      nextExpiry = Math.min(nextExpiry, first?.expiresAt ?? Infinity);
    }
    if (nextExpiry < Infinity) {
      const delayMs = Math.max(0, nextExpiry - clock.now());
      this.#cancelExpiry = clock.schedule(delayMs, () => this.#expire());
    }
  }

  #expire(): void {
    const now = this.#options.clock.now();
    for (const rank of RANKS) {
      for (const waiter of this.#waiters[rank]) {
        if (waiter.expiresAt > now) {
          break;
        }
        this.#removeWaiter(waiter);
        waiter.settle(
          Result.err(createOverloadRefusal(rank, 0, waiter.verdict)),
        );
      }
    }
    this.#admitWaiting();
  }
}
