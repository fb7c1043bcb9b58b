/**
 * Handlers that answer requests of each kind.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { RequestKind } from "../model/configuration.ts";
import type { RelayKernel } from "../services.ts";
import { ATTEMPT_ENDED, type OpenAttempt } from "./attempt-sender.ts";
import type { Attempts } from "./attempts.ts";
import { createFaultRefusal, isRetryable } from "./fault-refusal.ts";
import type { ProcessExaminer } from "../routing/process-examiner.ts";
import type { Quarantine } from "../routing/quarantine.ts";
import { EventForwarder } from "./event-forwarder.ts";
import {
  type AttemptFault,
  collectBody,
  type UpstreamResponse,
} from "./exchange.ts";
import { describeParts, type RelayedRequest } from "./relayed-request.ts";
import { writeBufferedResponse } from "./response-writer.ts";

/** Origin of a response, and the load at that instance. */
export interface ResponseSource {
  readonly instance: string;
  readonly group: string | undefined;
  /** Requests at the instance as counted by this node when it was chosen. */
  readonly load: number;
  /** Requests at the instance as reported with its response. */
  readonly upstreamLoad: number | undefined;
}

/** A response that was delivered to the caller. */
export interface DeliveredResponse extends ResponseSource {
  readonly status: number;
  /** When the first byte was written to the caller. */
  readonly firstByteAt: number;
  readonly eventCount: number;
  /** Longest time between two events; 0 for a buffered response. */
  readonly longestGapMs: number;
}

type Outcome = Result<DeliveredResponse, Refusal>;

/** Answers requests of one kind. */
type RequestHandler = (request: RelayedRequest) => Promise<Outcome>;

/** A response that was read completely. */
interface BufferedResponse {
  readonly upstreamResponse: UpstreamResponse;
  readonly body: Buffer;
  readonly source: ResponseSource;
}

const MIN_SERVER_ERROR_STATUS = 500;
const OK_STATUS = 200;

/** Answers requests according to their kind. */
export class RequestHandlers implements Service {
  #clock: Clock;
  #logger: Logger;
  #attempts: Attempts;
  #quarantine: Quarantine;
  #processExaminer: ProcessExaminer;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#attempts = kernel.find("attempts");
    this.#quarantine = kernel.find("quarantine");
    this.#processExaminer = kernel.find("processExaminer");
  }

  dump(): unknown {
    return { kinds: Object.keys(this.#handlers) };
  }

  /** Answers a request; the error is the refusal of an unanswered one. */
  async handle(request: RelayedRequest): Promise<Outcome> {
    try {
      return await this.#handlers[request.route.kind](request);
    } finally {
      const { replacement } = request;
      request.replacement = undefined;
      replacement?.end(ATTEMPT_ENDED);
    }
  }

  readonly #handlers: Readonly<Record<RequestKind, RequestHandler>> = {
    idempotent: (request) => this.#handleIdempotent(request),
    once: (request) => this.#handleOnce(request),
    stream: (request) => this.#handleStream(request),
  };

  async #handleOnce(request: RelayedRequest): Promise<Outcome> {
    const buffered = await this.#readBuffered(request);
    return buffered.map((response) => this.#writeBuffered(request, response));
  }

  /** Forwards a server error only if no other instance responds. */
  async #handleIdempotent(request: RelayedRequest): Promise<Outcome> {
    const first = await this.#readBuffered(request);
    const hasServerError = first.isOk &&
      first.value.upstreamResponse.status >= MIN_SERVER_ERROR_STATUS;
    if (!hasServerError || !this.#attempts.tryWithdrawRetry(request)) {
      return first.map((response) => this.#writeBuffered(request, response));
    }
    this.#logger.info("attempt_repeated", {
      request: request.id,
      instance: first.value.source.instance,
      status: first.value.upstreamResponse.status,
    });
    const second = await this.#readBuffered(request);
    const buffered = second.isOk ? second.value : first.value;
    return Result.ok(this.#writeBuffered(request, buffered));
  }

  /** Reads one complete response, with as many attempts as are allowed. */
  async #readBuffered(
    request: RelayedRequest,
  ): Promise<Result<BufferedResponse, Refusal>> {
    for (;;) {
      const opened = await this.#attempts.open(request);
      if (opened.isErr) {
        return Result.err(opened.error);
      }
      const { upstreamResponse, exchange, end } = opened.value;
      try {
        const body = await collectBody(upstreamResponse.body, request.memory);
        this.#quarantine.recordAnswer(request, this.#clock.now());
        const source = describeSource(opened.value);
        return Result.ok({ upstreamResponse, body, source });
      } catch (failure) {
        request.mayHaveRun = true;
        const fault = exchange.createFault(failure);
        this.#logInterruption(request, opened.value, fault);
        await this.#recordBroken(request, opened.value);
        const refusal = this.#decideAfterInterruption(request, fault.message);
        if (refusal !== undefined) {
          return Result.err(refusal);
        }
      } finally {
        end(ATTEMPT_ENDED);
      }
    }
  }

  #writeBuffered(
    request: RelayedRequest,
    { upstreamResponse, body, source }: BufferedResponse,
  ): DeliveredResponse {
    const { incoming, memory, response } = request;
    const method = incoming.method ?? "GET";
    // The body is held until the caller has read it.
    memory.onEvict(() => response.destroy());
    writeBufferedResponse(response, method, upstreamResponse, body);
    const firstByteAt = this.#clock.now();
    return {
      ...source,
      status: upstreamResponse.status,
      firstByteAt,
      eventCount: 0,
      longestGapMs: 0,
    };
  }

  /**
   * Forwards events as they arrive. An interrupted stream is resumed at another
   * instance after its last complete event; the caller still sees one response.
   */
  async #handleStream(request: RelayedRequest): Promise<Outcome> {
    const events = new EventForwarder(this.#clock, this.#quarantine, request);
    for (;;) {
      const opened = await this.#attempts.open(request);
      if (opened.isErr) {
        return Result.err(opened.error);
      }
      const attempt = opened.value;
      const source = describeSource(attempt);
      try {
        if (attempt.upstreamResponse.status !== OK_STATUS) {
          const { upstreamResponse } = attempt;
          return await this.#forwardErrorResponse(
            request,
            events,
            upstreamResponse,
            source,
          );
        }
        await events.forward(attempt);
        request.response.end();
        const { eventCount, longestGapMs } = events;
        const firstByteAt = events.firstByteAt ?? this.#clock.now();
        return Result.ok({
          ...source,
          status: OK_STATUS,
          firstByteAt,
          eventCount,
          longestGapMs,
        });
      } catch (failure) {
        request.mayHaveRun = true;
        const fault = attempt.exchange.createFault(failure);
        this.#logInterruption(request, attempt, fault, events);
        if (!events.isProven) {
          await this.#recordBroken(request, attempt);
        } else if (!attempt.exchange.isClosed) {
          // The request did not end the process, but its group has to know.
          void this.#processExaminer.examine(attempt.choice.instance);
        }
        const refusal = request.canResume
          ? this.#decideAfterInterruption(request, fault.message)
          : createFaultRefusal(request, fault.message);
        if (refusal !== undefined) {
          return Result.err(refusal);
        }
      } finally {
        attempt.end(ATTEMPT_ENDED);
      }
    }
  }

  /** Forwards an error response to a stream request: a body, not a stream. */
  async #forwardErrorResponse(
    request: RelayedRequest,
    { eventCount }: EventForwarder,
    upstreamResponse: UpstreamResponse,
    source: ResponseSource,
  ): Promise<Outcome> {
    const body = await collectBody(upstreamResponse.body, request.memory);
    if (eventCount > 0) {
      return Result.err(
        new Refusal(
          "upstream-unavailable",
          "may-have-run",
          `resuming the stream failed with status ${upstreamResponse.status}`,
        ),
      );
    }
    return Result.ok(
      this.#writeBuffered(request, { upstreamResponse, body, source }),
    );
  }

  /**
   * Returns the final refusal after an interruption, or undefined if another
   * attempt is allowed.
   */
  #decideAfterInterruption(
    request: RelayedRequest,
    message: string,
  ): Refusal | undefined {
    if (request.callerSignal.aborted || this.#attempts.hasExpired(request)) {
      return new Refusal("deadline", "may-have-run", message);
    }
    return isRetryable(request) && this.#attempts.tryWithdrawRetry(request)
      ? undefined
      : createFaultRefusal(request, message);
  }

  /** Examines an upstream that broke off an answer; this node may have, too. */
  async #recordBroken(
    request: RelayedRequest,
    { exchange, choice, sentAt }: OpenAttempt,
  ): Promise<void> {
    if (!exchange.isClosed) {
      await this.#quarantine.recordBroken(request, choice.instance, sentAt);
    }
  }

  #logInterruption(
    request: RelayedRequest,
    { choice }: OpenAttempt,
    { message, endedBy }: AttemptFault,
    events?: EventForwarder,
  ): void {
    this.#logger.info("answer_broken", {
      request: request.id,
      instance: choice.instance.id,
      group: choice.group?.name,
      events: events?.eventCount ?? 0,
      has_proof: events?.isProven ?? false,
      parts: describeParts(request),
      own_part: request.metadata.ownPart,
      error: message,
      ended_by: endedBy,
      left_ms: Math.round(request.deadlineAt - this.#clock.now()),
    });
  }
}

function describeSource(
  { choice, responseMetadata }: OpenAttempt,
): ResponseSource {
  return {
    instance: choice.instance.id,
    group: choice.group?.name,
    load: choice.load,
    upstreamLoad: responseMetadata.upstreamLoad,
  };
}
