/**
 * Records that this node has appended and whose decision it waits for.
 *
 * @module
 */
import { type Clock, withDeadline } from "@zinniahill/kernel";
import type { Fault, Log } from "@zinniahill/clients";
import type { Decision } from "@zinniahill/policy";
import { type ControlRecord, Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";

/** Appends of one record; a repeat covers an append that never arrived. */
const APPEND_ATTEMPTS = 2;

type Decided = { readonly decision: Decision };
type Appended = { readonly reply: Result<number, Fault> };

/** Appends records and matches them with what the reader decides. */
export class Proposer {
  #clock: Clock;
  #log: Log;
  #timeoutMs: number;
  #pending = new Map<string, (decision: Decision) => void>();

  constructor(clock: Clock, log: Log, timeoutMs: number) {
    this.#clock = clock;
    this.#log = log;
    this.#timeoutMs = timeoutMs;
  }

  /** Ids of the records that wait for their decision. */
  get pendingIds(): string[] {
    return [...this.#pending.keys()];
  }

  /** Hands a decision to the task that waits for it, if there is one. */
  resolve(id: string, decision: Decision): void {
    this.#pending.get(id)?.(decision);
    this.#pending.delete(id);
  }

  /**
   * Appends a record and waits until the reader has decided it. The refusal's
   * verdict is `not-run` only if no append of the record was sent.
   */
  async propose(
    record: ControlRecord,
    signal: AbortSignal,
  ): Promise<Result<Decision, Refusal>> {
    const decided = new Promise<Decided>((resolve) => {
      this.#pending.set(record.id, (decision) => resolve({ decision }));
    });
    let isSent = false;
    try {
      for (let attempt = 1; attempt <= APPEND_ATTEMPTS; attempt++) {
        const first = await this.#append(record, decided, signal);
        if ("decision" in first) {
          return Result.ok(first.decision);
        }
        const { reply } = first;
        isSent ||= reply.isOk || reply.error.verdict !== "not-run";
        if (!isSent) {
          return Result.err(createNotSentRefusal());
        }
        const decision = await this.#wait(reply.isOk, decided, signal);
        if (decision !== undefined) {
          return Result.ok(decision);
        }
        if (reply.isOk) {
          break;
        }
      }
    } catch {
      // An aborted wait says nothing about whether the append took effect.
    } finally {
      this.#pending.delete(record.id);
    }
    return Result.err(createUndecidedRefusal());
  }

  /** The record may be read before the reply to its append comes. */
  #append(
    record: ControlRecord,
    decided: Promise<Decided>,
    signal: AbortSignal,
  ): Promise<Decided | Appended> {
    const appended = this.#log.append("control", [record], signal)
      .then((reply): Appended => ({ reply }));
    return Promise.race([decided, appended]);
  }

  /** Waits for the decision; longer when the record is known to be stored. */
  async #wait(
    isStored: boolean,
    decided: Promise<Decided>,
    signal: AbortSignal,
  ): Promise<Decision | undefined> {
    const limitMs = (isStored ? 2 : 1) * this.#timeoutMs;
    try {
      const { decision } = await withDeadline(
        this.#clock,
        limitMs,
        signal,
        () => decided,
      );
      return decision;
    } catch (failure) {
      if (signal.aborted) {
        throw failure;
      }
      return undefined;
    }
  }
}

function createNotSentRefusal(): Refusal {
  return new Refusal(
    "log-unavailable",
    "not-run",
    "the log refused the connection",
  );
}

function createUndecidedRefusal(): Refusal {
  return new Refusal(
    "log-unavailable",
    "may-have-run",
    "the record was not read back in time",
  );
}
