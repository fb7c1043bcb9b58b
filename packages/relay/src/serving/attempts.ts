/**
 * Attempts of a request: choice, sending, judgement, repeat or refusal.
 *
 * @module
 */
import { type Clock, type Logger, type Service } from "@zinniahill/kernel";
import { Refusal, type Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { HeaderCodec, ResponseMetadata } from "../adapter.ts";
import type { Dispatcher, Selection } from "../routing/dispatcher.ts";
import type {
  OutstandingRequest,
  OutstandingRequests,
} from "../routing/outstanding-requests.ts";
import { RetryBudget } from "../routing/retry-budget.ts";
import type { RelayKernel } from "../services.ts";
import {
  type AttemptFault,
  Exchange,
  scheduleAt,
  type UpstreamReply,
} from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";

/** One attempt whose response has begun. */
export interface OpenAttempt {
  readonly choice: Selection;
  readonly exchange: Exchange;
  readonly ticket: OutstandingRequest;
  readonly reply: UpstreamReply;
  readonly facts: ResponseMetadata;
  /** Ends the attempt; the upstream stops its work if it has not ended. */
  end(reason: Error): void;
}

/** Statuses that promise a caller that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const MISDIRECTED_STATUS = 421;
/** Without a reason, each abort would record a stack of its own. */
export const ATTEMPT_ENDED = new Error("the attempt has ended");
const CALLER_GONE = new Error("the caller has gone");
const DEADLINE_PASSED = new Error("the deadline has passed");
const GROUP_STALLED = new Error("the group does not move");
/** Time for the answer to travel back to the caller. */
const RETURN_MARGIN_MS = 5;
const REFUSED_RETRY_AFTER_MS = 100;
/** Connections that may fail before a request is refused. */
const MAX_UNSENT_ATTEMPTS = 4;
const MAX_PRIORITY = 9;

/** Opens attempts and decides whether another may follow. */
export class Attempts implements Service {
  #clock: Clock;
  #logger: Logger;
  #format: HeaderCodec;
  #dispatcher: Dispatcher;
  #outstanding: OutstandingRequests;
  #budget: RetryBudget;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#format = kernel.find("format");
    this.#dispatcher = kernel.find("dispatcher");
    this.#outstanding = kernel.find("outstanding");
    const mesh = kernel.find("mesh");
    this.#budget = new RetryBudget(
      this.#clock,
      kernel.find("settings").retries,
      () => mesh.countNodes(),
    );
  }

  /**
   * Sends a request to upstreams until one answers or no further attempt is
   * allowed. A resumed stream says which event it has.
   */
  async open(
    relayed: RelayedRequest,
    lastEventId: string | undefined,
  ): Promise<Result<OpenAttempt, Refusal>> {
    for (let unsent = 0; unsent < MAX_UNSENT_ATTEMPTS; unsent++) {
      const chosen = this.#choose(relayed);
      if (chosen.isErr) {
        const refusal = relayed.mayHaveRun
          ? refuseAfterFault(relayed, chosen.error.message)
          : chosen.error;
        return Result.err(refusal);
      }
      const opened = await this.#send(relayed, chosen.value, lastEventId);
      if (opened.isOk) {
        return Result.ok(opened.value);
      }
      const fault = opened.error;
      relayed.mayHaveRun ||= fault.verdict === "may-have-run";
      this.#logFault(relayed, chosen.value, fault);
      const refusal = this.#judgeFault(relayed, fault);
      if (refusal !== undefined) {
        return Result.err(refusal);
      }
    }
    return Result.err(
      new Refusal(
        "no-upstream",
        "not-run",
        "no upstream accepted a connection",
        REFUSED_RETRY_AFTER_MS,
      ),
    );
  }

  /** Whether one more upstream may be given the request. */
  mayRepeat({ service, route, sentTo, deadlineAt }: RelayedRequest): boolean {
    return sentTo.size < route.maxAttempts && this.#clock.now() < deadlineAt &&
      this.#budget.tryWithdraw(service.name);
  }

  dump(): unknown {
    return { budget: this.#budget.dump() };
  }

  #choose(
    relayed: RelayedRequest,
    excluded: ReadonlySet<string> = relayed.sentTo,
  ): Result<Selection, Refusal> {
    const { service, facts, rank, route } = relayed;
    return this.#dispatcher.select({
      service,
      model: facts.model,
      rank,
      targetMs: route.targetMs,
      excluded,
      mayHaveRun: relayed.mayHaveRun,
    });
  }

  /** Makes one attempt up to the head of the response. */
  async #send(
    relayed: RelayedRequest,
    choice: Selection,
    lastEventId: string | undefined,
  ): Promise<Result<OpenAttempt, AttemptFault>> {
    const { instance, group } = choice;
    const exchange = new Exchange(instance.address);
    const ticket = this.#outstanding.begin(
      instance.id,
      group,
      relayed.route.kind === "stream",
    );
    const onGone = () => exchange.close(CALLER_GONE);
    relayed.gone.addEventListener("abort", onGone, { once: true });
    const cancelDeadline = scheduleAt(
      this.#clock,
      relayed.deadlineAt,
      () => exchange.close(DEADLINE_PASSED),
    );
    const end = (reason: Error) => {
      cancelDeadline();
      relayed.gone.removeEventListener("abort", onGone);
      ticket.end();
      exchange.close(reason);
    };
    if (relayed.route.isResumable) {
      ticket.onStall(() => {
        if (this.#canMove(relayed, choice)) {
          exchange.close(GROUP_STALLED);
        }
      });
    }
    if (relayed.gone.aborted) {
      onGone();
    }
    if (relayed.sentTo.size === 0) {
      this.#budget.deposit(relayed.service.name);
    }
    const sent = await exchange.send(
      this.#createRequest(relayed, choice, lastEventId),
    );
    if (exchange.isSent) {
      relayed.sentTo.add(instance.id);
    }
    if (sent.isErr) {
      if (!exchange.isSent) {
        this.#dispatcher.markUnreachable(instance);
      }
      end(ATTEMPT_ENDED);
      return Result.err(sent.error);
    }
    const reply = sent.value;
    const facts = this.#format.parseResponse(reply.headers);
    const fault = findFault(relayed, reply, facts);
    if (fault !== undefined) {
      if (reply.status === MISDIRECTED_STATUS) {
        this.#dispatcher.markMisdirected(choice);
      }
      end(ATTEMPT_ENDED);
      return Result.err(fault);
    }
    return Result.ok({ choice, exchange, ticket, reply, facts, end });
  }

  #createRequest(
    relayed: RelayedRequest,
    { instance }: Selection,
    lastEventId: string | undefined,
  ) {
    const leftMs = relayed.deadlineAt - this.#clock.now() - RETURN_MARGIN_MS;
    const headers = this.#format.createForwardHeaders(relayed.request, {
      deadlineMs: Math.max(1, Math.floor(leftMs)),
      instance: instance.id,
      account: relayed.account?.name,
      priority: relayed.service.engine === undefined
        ? undefined
        : Math.min(MAX_PRIORITY, relayed.rank),
      lastEventId,
    });
    if (relayed.body.length > 0) {
      headers.push("content-length", String(relayed.body.length));
    }
    return {
      address: instance.address,
      method: relayed.request.method ?? "GET",
      target: relayed.facts.target,
      headers,
      body: relayed.body,
    };
  }

  /** Whether another group has room for a request whose group stalls. */
  #canMove(relayed: RelayedRequest, { instance }: Selection): boolean {
    const { route, sentTo } = relayed;
    const excluded = new Set([...sentTo, instance.id]);
    return excluded.size < route.maxAttempts &&
      this.#choose(relayed, excluded).isOk;
  }

  /** The final refusal after a fault; undefined if another attempt may be. */
  #judgeFault(
    relayed: RelayedRequest,
    { message }: AttemptFault,
  ): Refusal | undefined {
    if (relayed.gone.aborted) {
      return new Refusal(
        "deadline",
        readVerdict(relayed),
        "the caller has gone",
      );
    }
    if (this.#clock.now() >= relayed.deadlineAt) {
      return relayed.mayHaveRun
        ? new Refusal("deadline", "may-have-run", message)
        : new Refusal("overloaded", "not-run", message);
    }
    if (relayed.sentTo.size === 0) {
      return undefined;
    }
    if (isRepeatable(relayed) && this.mayRepeat(relayed)) {
      return undefined;
    }
    return refuseAfterFault(relayed, message);
  }

  #logFault(
    relayed: RelayedRequest,
    { instance, group, load }: Selection,
    { verdict, message }: AttemptFault,
  ): void {
    this.#logger.info("attempt_failed", {
      request: relayed.id,
      instance: instance.id,
      group: group?.name,
      load,
      verdict,
      error: message,
      left_ms: Math.round(relayed.deadlineAt - this.#clock.now()),
    });
  }
}

/** Whether a request may be given to another upstream now. */
function isRepeatable({ route, mayHaveRun }: RelayedRequest): boolean {
  return !mayHaveRun || route.kind === "idempotent" || route.isResumable;
}

/** What is known of a request over all its attempts. */
export function readVerdict({ mayHaveRun }: RelayedRequest): Verdict {
  return mayHaveRun ? "may-have-run" : "not-run";
}

/** The refusal of a request that was sent and is not sent again. */
export function refuseAfterFault(
  { mayHaveRun }: RelayedRequest,
  message: string,
): Refusal {
  return mayHaveRun
    ? new Refusal("upstream-unavailable", "may-have-run", message)
    : new Refusal(
      "upstream-refused",
      "not-run",
      message,
      REFUSED_RETRY_AFTER_MS,
    );
}

/** Why a response cannot be given to the caller. */
function findFault(
  { facts: { attemptId } }: RelayedRequest,
  { status }: UpstreamReply,
  facts: ResponseMetadata,
): AttemptFault | undefined {
  if (facts.attemptId !== undefined && facts.attemptId !== attemptId) {
    return fail("may-have-run", "the response belongs to another request");
  }
  if (facts.hasNotRun || status === MISDIRECTED_STATUS) {
    return fail("not-run", `the upstream refused with ${status}`);
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return fail("may-have-run", `${status} without a promise`);
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!facts.isSigned || facts.isEncoded)) {
    return fail("may-have-run", "the response is not the upstream's own");
  }
  return undefined;
}

function fail(
  verdict: AttemptFault["verdict"],
  message: string,
): AttemptFault {
  return { verdict, message };
}
