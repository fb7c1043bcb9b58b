/**
 * The baseline of admission: one queue, first in, first out.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { AdmissionRequest, Permit } from "@zinniahill/policy";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";

/** What a node of the bench needs of admission. */
export interface BenchGate {
  admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>>;
  readonly inFlight: number;
}

/** Requests that may wait at one node. */
const MAX_WAITING = 500;

/** Admits in the order of arrival, with a bounded queue and no rank. */
export class FifoGate implements BenchGate {
  #capacity: () => number;
  #inFlight = 0;
  #waiting: (() => void)[] = [];

  constructor(_clock: Clock, capacity: () => number) {
    this.#capacity = capacity;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  admit(
    _request: AdmissionRequest,
    _signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    if (this.#waiting.length >= MAX_WAITING) {
      return Promise.resolve(
        Result.err(new Refusal("overloaded", "not-run", "the queue is full")),
      );
    }
    return new Promise((resolve) => {
      this.#waiting.push(() => resolve(Result.ok(this.#createPermit())));
      this.#admitWaiting();
    });
  }

  #createPermit(): Permit {
    return {
      priority: 0,
      yieldSignal: new AbortController().signal,
      resume: () =>
        Promise.resolve(
          Result.err(new Refusal("overloaded", "may-have-run", "no resume")),
        ),
      recordFirstToken: () => {},
      release: () => {
        this.#inFlight--;
        this.#admitWaiting();
      },
    };
  }

  #admitWaiting(): void {
    while (
      this.#waiting.length > 0 && this.#inFlight < Math.floor(this.#capacity())
    ) {
      this.#inFlight++;
      this.#waiting.shift()!();
    }
  }
}
