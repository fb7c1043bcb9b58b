/**
 * Attempts of a request: choice of instance, retry, replacement or refusal.
 *
 * @module
 */
import { type Clock, type Logger, type Service } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Dispatcher, Selection } from "../routing/dispatcher.ts";
import type { Quarantine } from "../routing/quarantine.ts";
import { RetryBudget } from "../routing/retry-budget.ts";
import type { RelayKernel } from "../services.ts";
import {
  ATTEMPT_ENDED,
  AttemptSender,
  type OpenAttempt,
} from "./attempt-sender.ts";
import { EventStream } from "./event-stream.ts";
import type { AttemptFault } from "./exchange.ts";
import {
  createFaultRefusal,
  deriveVerdict,
  isRetryable,
  REFUSED_RETRY_AFTER_MS,
} from "./fault-refusal.ts";
import { describeParts, type RelayedRequest } from "./relayed-request.ts";
import { type AttemptOutcome, Replacement } from "./replacement.ts";

const OK_STATUS = 200;
/** Connections that may fail before the request is refused. */
const MAX_UNSENT_ATTEMPTS = 4;

/** Opens attempts and decides whether a request may be retried. */
export class Attempts implements Service {
  #clock: Clock;
  #logger: Logger;
  #dispatcher: Dispatcher;
  #quarantine: Quarantine;
  #sender: AttemptSender;
  #retryBudget: RetryBudget;
  #expirySignal: AbortSignal;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#dispatcher = kernel.find("dispatcher");
    this.#quarantine = kernel.find("quarantine");
    this.#sender = new AttemptSender(kernel);
    this.#expirySignal = kernel.find("lifecycle").expirySignal;
    const mesh = kernel.find("mesh");
    this.#retryBudget = new RetryBudget(
      this.#clock,
      kernel.find("settings").retries,
      () => mesh.countNodes(),
    );
  }

  /**
   * Sends a request to instances until one responds or no further attempt is
   * allowed. A replacement that was begun before is the next attempt.
   */
  async open(request: RelayedRequest): Promise<Result<OpenAttempt, Refusal>> {
    let unsentAttempts = 0;
    while (unsentAttempts < MAX_UNSENT_ATTEMPTS) {
      const sentBefore = request.sentTo.size;
      const attempted = await this.#attempt(request);
      if (attempted.isErr) {
        const refusal = request.mayHaveRun
          ? createFaultRefusal(request, attempted.error.message)
          : attempted.error;
        return Result.err(refusal);
      }
      const outcome = attempted.value;
      if (outcome.isOk) {
        return Result.ok(outcome.value);
      }
      unsentAttempts += Number(request.sentTo.size === sentBefore);
      const refusal = this.#decideAfterFault(request, outcome.error);
      if (refusal !== undefined) {
        return Result.err(refusal);
      }
    }
    const message = "no upstream instance accepted a connection";
    return Result.err(
      request.mayHaveRun ? createFaultRefusal(request, message) : new Refusal(
        "no-upstream",
        "not-run",
        message,
        REFUSED_RETRY_AFTER_MS,
      ),
    );
  }

  /**
   * Withdraws a retry from the budget, if one more attempt is allowed. The one
   * of a replacement was withdrawn when it began.
   */
  tryWithdrawRetry(request: RelayedRequest): boolean {
    return request.replacement === undefined
      ? this.#withdrawRetry(request)
      : !this.hasExpired(request);
  }

  #withdrawRetry(request: RelayedRequest): boolean {
    const { memory, service, route, sentTo } = request;
    return sentTo.size < route.maxAttempts && !this.hasExpired(request) &&
      !memory.isEvicted &&
      !this.#quarantine.isSuspect(request) &&
      this.#retryBudget.tryWithdraw(service.name);
  }

  /** Whether the request has to end now, with whatever answer it has. */
  hasExpired({ deadlineAt }: RelayedRequest): boolean {
    return this.#clock.now() >= deadlineAt || this.#expirySignal.aborted;
  }

  stop(): void {
    this.#sender.stop();
  }

  dump(): unknown {
    return {
      budget: this.#retryBudget.dump(),
      idleConnections: this.#sender.idleConnections,
    };
  }

  /** Makes the next attempt; the error is the refusal if there is none. */
  async #attempt(
    request: RelayedRequest,
  ): Promise<Result<AttemptOutcome, Refusal>> {
    const { replacement } = request;
    if (replacement !== undefined) {
      request.replacement = undefined;
      return Result.ok(await replacement.outcome);
    }
    const chosen = this.#chooseAllowed(request);
    if (chosen.isErr) {
      return Result.err(chosen.error);
    }
    if (request.sentTo.size === 0) {
      this.#retryBudget.deposit(request.service.name);
    }
    return Result.ok(await this.#sendLogged(request, chosen.value));
  }

  /** Makes one attempt and records its fault. */
  async #sendLogged(
    request: RelayedRequest,
    choice: Selection,
    signal: AbortSignal = request.callerSignal,
  ): Promise<AttemptOutcome> {
    const opened = await this.#sender.send(
      request,
      choice,
      signal,
      (end) => this.#replace(request, choice, end),
    );
    if (opened.isErr) {
      this.#recordFault(request, choice, opened.error);
    }
    return opened;
  }

  #recordFault(
    request: RelayedRequest,
    choice: Selection,
    fault: AttemptFault,
  ): void {
    request.mayHaveRun ||= fault.verdict === "may-have-run";
    this.#logFault(request, choice, fault);
  }

  /** Chooses an instance, unless the request crashes upstreams. */
  #chooseAllowed(request: RelayedRequest): Result<Selection, Refusal> {
    const refusal = this.#quarantine.check(request);
    return refusal === undefined ? this.#choose(request) : Result.err(refusal);
  }

  #choose(
    request: RelayedRequest,
    excluded: ReadonlySet<string> = request.sentTo,
    mayHaveRun: boolean = request.mayHaveRun,
  ): Result<Selection, Refusal> {
    const { service, metadata, rank, route } = request;
    return this.#dispatcher.select({
      service,
      model: metadata.model,
      rank,
      targetMs: route.targetMs,
      excluded,
      mayHaveRun,
    });
  }

  /**
   * Begins a replacement for a request of a stalled group, if another group has
   * room for it; `end` ends the first attempt once the replacement answers.
   */
  #replace(
    request: RelayedRequest,
    silent: Selection,
    end: () => void,
  ): void {
    const { route, sentTo } = request;
    const { instance } = silent;
    const excluded = new Set([...sentTo, instance.id]);
    const isAllowed = request.replacement === undefined && request.canResume &&
      !request.callerSignal.aborted && excluded.size < route.maxAttempts &&
      this.#quarantine.check(request) === undefined;
    if (!isAllowed) {
      return;
    }
    // The silent upstream may have run it, as after a fault.
    const chosen = this.#choose(request, excluded, true);
    if (chosen.isErr || !this.#withdrawRetry(request)) {
      return;
    }
    const choice = chosen.value;
    this.#logger.info("attempt_replaced", {
      request: request.id,
      instance: instance.id,
      by: choice.instance.id,
      group: choice.group?.name,
      left_ms: Math.round(request.deadlineAt - this.#clock.now()),
    });
    const replacement = new Replacement((signal) =>
      this.#sendReplacement(request, choice, signal)
    );
    request.replacement = replacement;
    void replacement.outcome.then(({ isErr }) => {
      if (request.replacement !== replacement) {
        return;
      }
      if (replacement.isAnswering) {
        end();
      } else if (isErr) {
        request.replacement = undefined;
        this.#replace(request, silent, end);
      }
    });
  }

  /** Makes an attempt up to the first event of a stream. */
  async #sendReplacement(
    request: RelayedRequest,
    choice: Selection,
    replacementSignal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const signal = AbortSignal.any([request.callerSignal, replacementSignal]);
    const opened = await this.#sendLogged(request, choice, signal);
    if (opened.isErr || opened.value.upstreamResponse.status !== OK_STATUS) {
      return opened;
    }
    const { exchange, upstreamResponse, sentAt, end } = opened.value;
    const events = new EventStream(request, upstreamResponse);
    try {
      await events.readAhead();
    } catch (failure) {
      const fault = exchange.createFault(failure);
      if (!exchange.isClosed) {
        await this.#sender.recordFailure(
          request,
          choice.instance,
          exchange,
          sentAt,
        );
      }
      end(ATTEMPT_ENDED);
      this.#recordFault(request, choice, fault);
      return Result.err(fault);
    }
    return Result.ok({
      ...opened.value,
      events,
      end: (reason) => {
        end(reason);
        events.close();
      },
    });
  }

  /**
   * Returns the final refusal after a fault, or undefined if another attempt is
   * allowed.
   */
  #decideAfterFault(
    request: RelayedRequest,
    { message }: AttemptFault,
  ): Refusal | undefined {
    if (request.callerSignal.aborted) {
      return new Refusal(
        "deadline",
        deriveVerdict(request),
        "the caller disconnected",
      );
    }
    if (this.hasExpired(request)) {
      return request.mayHaveRun
        ? new Refusal("deadline", "may-have-run", message)
        : new Refusal("overloaded", "not-run", message);
    }
    if (request.sentTo.size === 0) {
      return undefined;
    }
    if (isRetryable(request) && this.tryWithdrawRetry(request)) {
      return undefined;
    }
    return createFaultRefusal(request, message);
  }

  #logFault(
    request: RelayedRequest,
    { instance, group, load }: Selection,
    { verdict, message, endedBy }: AttemptFault,
  ): void {
    this.#logger.info("attempt_failed", {
      request: request.id,
      instance: instance.id,
      group: group?.name,
      load,
      verdict,
      parts: describeParts(request),
      own_part: request.metadata.ownPart,
      error: message,
      ended_by: endedBy,
      left_ms: Math.round(request.deadlineAt - this.#clock.now()),
    });
  }
}
