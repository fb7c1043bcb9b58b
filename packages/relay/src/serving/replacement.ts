/**
 * A further attempt of a request whose upstream is silent.
 *
 * A sound upstream may fall silent for a second, so its attempt goes on until
 * the replacement answers. Whichever continues first answers the request, and
 * the other one ends.
 *
 * @module
 */
import { describeError } from "@zinniahill/kernel";
import { Result } from "true-myth";
import type { OpenAttempt } from "./attempt-sender.ts";
import type { AttemptFault } from "./exchange.ts";

/** The result of an attempt. */
export type AttemptOutcome = Result<OpenAttempt, AttemptFault>;

const CANCELLED = new Error("the silent upstream has continued");

/** One replacement; it must be taken or ended. */
export class Replacement {
  #controller = new AbortController();
  #outcome: Promise<AttemptOutcome>;
  #opened: OpenAttempt | undefined;

  /** `open` makes the attempt; its signal is aborted when it must end. */
  constructor(open: (signal: AbortSignal) => Promise<AttemptOutcome>) {
    const { signal } = this.#controller;
    this.#outcome = open(signal).catch(createOutcome).then((outcome) => {
      if (outcome.isOk && signal.aborted) {
        outcome.value.end(signal.reason);
      } else if (outcome.isOk) {
        this.#opened = outcome.value;
      }
      return outcome;
    });
  }

  /** Resolves once the attempt answers or has failed. */
  get outcome(): Promise<AttemptOutcome> {
    return this.#outcome;
  }

  /** Whether it goes on with the stream; a failure may be its answer, too. */
  get isAnswering(): boolean {
    return this.#opened?.events !== undefined;
  }

  /** Ends the attempt unless it is answering; returns whether it has ended. */
  tryCancel(): boolean {
    if (this.isAnswering) {
      return false;
    }
    this.end(CANCELLED);
    return true;
  }

  /** Ends the attempt in any case. */
  end(reason: Error): void {
    this.#controller.abort(reason);
    this.#opened?.end(reason);
  }
}

function createOutcome(failure: unknown): AttemptOutcome {
  return Result.err({
    verdict: "may-have-run",
    message: describeError(failure),
    endedBy: "node",
  });
}
