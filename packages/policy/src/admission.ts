/**
 * Admission: which request goes next, and which is refused at once.
 *
 * @module
 */
import { Condition } from "@zinniahill/kernel";
import { type Rank, RANKS, Refusal, type Rules } from "@zinniahill/schema";
import { Result } from "true-myth";

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly account: string;
  readonly rank: Rank;
  /** Tokens that the answer may have. */
  readonly tokens: number;
}

/** A place that a request holds until it ends. */
export interface Permit {
  /** Gives the place back and says how many tokens were served. */
  release(tokens: number): void;
}

interface Waiter {
  readonly request: AdmissionRequest;
  isAdmitted: boolean;
}

const RETRY_AFTER_MS = 1000;

/** Admits requests by rank, as long as capacity is free. */
export class Admission {
  #rules: () => Rules | undefined;
  #capacity: () => number;
  #inFlight = 0;
  #queues: Record<Rank, Waiter[]> = { urgent: [], normal: [], batch: [] };
  #changed = new Condition();

  constructor(rules: () => Rules | undefined, capacity: () => number) {
    this.#rules = rules;
    this.#capacity = capacity;
  }

  /** The number of requests that hold a place. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Waits for a place; refuses at once when the wait would be too long. */
  async admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const rules = this.#rules();
    if (rules === undefined) {
      return Result.err(
        new Refusal("no-configuration", "not-run", "no configuration is known"),
      );
    }
    const queue = this.#queues[request.rank];
    if (queue.length >= this.#capacity()) {
      return Result.err(
        new Refusal(
          "overloaded",
          "not-run",
          `too many ${request.rank} requests wait`,
          RETRY_AFTER_MS,
        ),
      );
    }
    const waiter: Waiter = { request, isAdmitted: false };
    queue.push(waiter);
    this.#admitWaiting();
    try {
      await this.#changed.until(() => waiter.isAdmitted, signal);
    } catch {
      this.#leave(waiter);
      return Result.err(
        new Refusal("deadline", "not-run", "no place in time", RETRY_AFTER_MS),
      );
    }
    return Result.ok(this.#createPermit());
  }

  #createPermit(): Permit {
    let isHeld = true;
    return {
      release: (_tokens) => {
        if (isHeld) {
          isHeld = false;
          this.#inFlight--;
          this.#admitWaiting();
        }
      },
    };
  }

  #leave(waiter: Waiter): void {
    if (waiter.isAdmitted) {
      this.#inFlight--;
      this.#admitWaiting();
      return;
    }
    const queue = this.#queues[waiter.request.rank];
    queue.splice(queue.indexOf(waiter), 1);
  }

  #admitWaiting(): void {
    for (const rank of RANKS) {
      const queue = this.#queues[rank];
      while (queue.length > 0 && this.#inFlight < this.#capacity()) {
        queue.shift()!.isAdmitted = true;
        this.#inFlight++;
      }
    }
    this.#changed.notify();
  }
}
