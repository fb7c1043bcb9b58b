/**
 * Appends records to the control stream and waits for the reducer's decision.
 *
 * @module
 */
import { type Clock, withDeadline } from "@zinniahill/kernel";
import type { Fault, Log } from "@zinniahill/clients";
import type { ControlReducer, Decision } from "@zinniahill/policy";
import { type ControlRecord, Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";

/** The second attempt is for an append that never reached the log. */
const APPEND_ATTEMPTS = 2;

type DecisionOutcome = { readonly decision: Decision };
type AppendOutcome = { readonly reply: Result<number, Fault> };

/** Appends records and matches them by id with the reducer's decisions. */
export class Proposer {
  #clock: Clock;
  #log: Log;
  #timeoutMs: number;
  #resolvers = new Map<string, (decision: Decision) => void>();

  constructor(clock: Clock, log: Log, timeoutMs: number) {
    this.#clock = clock;
    this.#log = log;
    this.#timeoutMs = timeoutMs;
  }

  /** Passes a decision to the proposal that waits for it, if there is one. */
  resolve(id: string, decision: Decision): void {
    this.#resolvers.get(id)?.(decision);
    this.#resolvers.delete(id);
  }

  /**
   * Resolves the proposals that a state alone decides, for records that were
   * decided earlier. The last lease record of each scope counts as accepted.
   */
  resolvePending(state: ControlReducer): void {
    const leaseRecords = [...state.leases.values()].map(({ lastId }) => lastId);
    const reason = "refused; a snapshot does not include the reason";
    for (const id of this.#resolvers.keys()) {
      const accepted = leaseRecords.includes(id) || state.findDecision(id);
      if (accepted !== undefined) {
        this.resolve(id, accepted ? { accepted } : { accepted, reason });
      }
    }
  }

  /**
   * Appends a record and waits for its decision. The verdict of a refusal is
   * `not-run` only if no append of the record was sent.
   */
  async propose(
    record: ControlRecord,
    signal: AbortSignal,
  ): Promise<Result<Decision, Refusal>> {
    const decisionOutcome = new Promise<DecisionOutcome>((resolve) => {
      this.#resolvers.set(record.id, (decision) => resolve({ decision }));
    });
    let mayBeSent = false;
    try {
      for (let attempt = 1; attempt <= APPEND_ATTEMPTS; attempt++) {
        const outcome = await this.#append(record, decisionOutcome, signal);
        if ("decision" in outcome) {
          return Result.ok(outcome.decision);
        }
        const { reply } = outcome;
        mayBeSent ||= reply.isOk || reply.error.verdict !== "not-run";
        if (!mayBeSent) {
          return Result.err(createNotSentRefusal());
        }
        const decision = await this.#waitForDecision(
          reply.isOk,
          decisionOutcome,
          signal,
        );
        if (decision !== undefined) {
          return Result.ok(decision);
        }
        if (reply.isOk) {
          break;
        }
      }
    } catch {
      // After an abort it is unknown whether the append took effect.
    } finally {
      this.#resolvers.delete(record.id);
    }
    return Result.err(createUndecidedRefusal());
  }

  /** Appends a record. The decision may come before the reply to the append. */
  #append(
    record: ControlRecord,
    decisionOutcome: Promise<DecisionOutcome>,
    signal: AbortSignal,
  ): Promise<DecisionOutcome | AppendOutcome> {
    const appendOutcome = this.#log.append("control", [record], signal)
      .then((reply): AppendOutcome => ({ reply }));
    return Promise.race([decisionOutcome, appendOutcome]);
  }

  /** Waits for the decision; twice as long if the record is in the log. */
  async #waitForDecision(
    isStored: boolean,
    decisionOutcome: Promise<DecisionOutcome>,
    signal: AbortSignal,
  ): Promise<Decision | undefined> {
    const timeoutMs = (isStored ? 2 : 1) * this.#timeoutMs;
    try {
      const { decision } = await withDeadline(
        this.#clock,
        timeoutMs,
        signal,
        () => decisionOutcome,
      );
      return decision;
    } catch (error) {
      if (signal.aborted) {
        throw error;
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
