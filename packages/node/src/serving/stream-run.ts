/**
 * What is known of one request over all its attempts.
 *
 * @module
 */
import type { Fault } from "@zinniahill/clients";
import {
  type ChatMessage,
  type Rank,
  Refusal,
  type Verdict,
} from "@zinniahill/schema";
import type { Place } from "./place.ts";
import { Progress, type TokenSink } from "./stream-attempt.ts";

/** A request for a stream of tokens. */
export interface StreamRequest {
  readonly request: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly rank: Rank;
  /** The place that admission gave; the caller of the stream releases it. */
  readonly place: Place;
  /** When the request must have ended, on the node's clock. */
  readonly deadline: number;
  readonly sink: TokenSink;
}

/** How a stream ended. */
export interface StreamEnd {
  readonly attempts: number;
  /** The whole answer. */
  readonly progress: Progress;
}

const RETRY_AFTER_MS = 1000;

/** The state of one request. */
export class StreamRun {
  readonly request: StreamRequest;
  readonly signal: AbortSignal;
  /** Hashes of the prompt's prefixes, for routing. */
  readonly prefix: readonly string[];
  readonly progress = new Progress();
  /** Groups on which the last attempt brought no new token. */
  readonly excluded = new Set<string>();
  /** The group of the last attempt, if that one brought new tokens. */
  resumable: string | undefined;
  attempts = 0;
  /** Attempts in a row that brought no new token. */
  fruitless = 0;
  verdict: Verdict = "not-run";
  /** Why no place was given again after a yield. */
  refusal: Refusal | undefined;
  #asked = new Map<string, number>();

  constructor(
    request: StreamRequest,
    prefix: readonly string[],
    signal: AbortSignal,
  ) {
    this.request = request;
    this.prefix = prefix;
    this.signal = signal;
  }

  /** Whether the request has given its place to urgent work. */
  get hasYielded(): boolean {
    return this.request.place.yielded.aborted;
  }

  /**
   * Creates the id of the next attempt on a lead. An engine that closes or
   * cancels the old stream late must not meet the new one under the same id.
   */
  createAttemptId(address: string): string {
    const { request } = this.request;
    const asked = this.#asked.get(address) ?? 0;
    this.#asked.set(address, asked + 1);
    return asked === 0 ? request : `${request}-${asked}`;
  }

  /** Notes whether an attempt on a group brought new tokens. */
  noteProgress(group: string, hasProgress: boolean): void {
    this.resumable = hasProgress ? group : undefined;
    if (hasProgress) {
      this.fruitless = 0;
      this.excluded.clear();
    } else if (!this.hasYielded) {
      this.fruitless++;
    }
  }

  /** Notes what the end of an attempt says about the request. */
  noteVerdict(fault: Fault): void {
    if (this.progress.next > 0) {
      this.verdict = "ran";
    } else if (this.verdict === "not-run") {
      this.verdict = fault.verdict;
    }
  }

  /** Creates the refusal of a request that was not completed. */
  createRefusal(now: number): Refusal {
    const { verdict, refusal } = this;
    const isLate = now >= this.request.deadline;
    return new Refusal(
      isLate ? "deadline" : refusal?.code ?? "no-group",
      verdict,
      refusal?.message ?? REFUSALS[verdict],
      refusal?.retryAfterMs ?? RETRY_AFTER_MS,
    );
  }
}

const REFUSALS: { readonly [Kind in Verdict]: string } = {
  "not-run": "no group of the model can be served now",
  "may-have-run": "no group has completed the request",
  "ran": "the answer could not be completed",
};
