/**
 * How requests of each kind are answered.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { RequestKind } from "../model/configuration.ts";
import type { RelayKernel } from "../services.ts";
import {
  ATTEMPT_ENDED,
  type Attempts,
  type OpenAttempt,
  refuseAfterFault,
} from "./attempts.ts";
import { EventSplitter } from "./event-splitter.ts";
import { collectBody, type UpstreamReply } from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";
import { writeStreamHead, writeWholeReply } from "./response-writer.ts";

/** Where a response came from, and how full that upstream was. */
export interface AnswerSource {
  readonly instance: string;
  readonly group: string | undefined;
  /** Requests that this node counted there when it chose the upstream. */
  readonly load: number;
  /** Requests that the upstream itself counted with its response. */
  readonly upstreamLoad: number | undefined;
}

/** What an answered request came to. */
export interface DeliveredResponse extends AnswerSource {
  readonly status: number;
  /** When the first byte was written to the caller. */
  readonly firstByteAt: number;
  readonly events: number;
  /** Longest time between two events; 0 for a whole body. */
  readonly longestGapMs: number;
}

type Outcome = Result<DeliveredResponse, Refusal>;

/** Answers a request of one kind. */
type AnswerHandler = (relayed: RelayedRequest) => Promise<Outcome>;

/** A whole response that was read. */
interface WholeReply {
  readonly reply: UpstreamReply;
  readonly chunks: readonly Buffer[];
  readonly source: AnswerSource;
}

/** How far a stream has come over all its attempts. */
interface StreamProgress {
  lastEventId: string | undefined;
  firstByteAt: number | undefined;
  events: number;
  status: number;
  lastEventAt: number | undefined;
  longestGapMs: number;
}

const SERVER_ERROR_STATUS = 500;
const OK_STATUS = 200;

/** Answers requests by their kind. */
export class RequestHandlers implements Service {
  #clock: Clock;
  #logger: Logger;
  #attempts: Attempts;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#attempts = kernel.find("attempts");
  }

  dump(): unknown {
    return { kinds: Object.keys(this.#handlers) };
  }

  /** Answers a request, or says why there is no answer. */
  answer(relayed: RelayedRequest): Promise<Outcome> {
    return this.#handlers[relayed.route.kind](relayed);
  }

  readonly #handlers: Readonly<Record<RequestKind, AnswerHandler>> = {
    idempotent: (relayed) => this.#answerRepeatable(relayed),
    once: (relayed) => this.#answerWhole(relayed),
    stream: (relayed) => this.#answerStream(relayed),
  };

  async #answerWhole(relayed: RelayedRequest): Promise<Outcome> {
    const whole = await this.#readWhole(relayed);
    return whole.map((reply) => this.#writeWhole(relayed, reply));
  }

  /** An upstream's own failure is passed on only if no other one answers. */
  async #answerRepeatable(relayed: RelayedRequest): Promise<Outcome> {
    const first = await this.#readWhole(relayed);
    const hasFailed = first.isOk &&
      first.value.reply.status >= SERVER_ERROR_STATUS;
    if (!hasFailed || !this.#attempts.mayRepeat(relayed)) {
      return first.map((reply) => this.#writeWhole(relayed, reply));
    }
    this.#logger.info("attempt_repeated", {
      request: relayed.id,
      instance: first.value.source.instance,
      status: first.value.reply.status,
    });
    const second = await this.#readWhole(relayed);
    const reply = second.isOk ? second.value : first.value;
    return Result.ok(this.#writeWhole(relayed, reply));
  }

  /** Reads one whole response, over as many attempts as are allowed. */
  async #readWhole(
    relayed: RelayedRequest,
  ): Promise<Result<WholeReply, Refusal>> {
    for (;;) {
      const opened = await this.#attempts.open(relayed, undefined);
      if (opened.isErr) {
        return Result.err(opened.error);
      }
      const { reply, exchange, end } = opened.value;
      try {
        const chunks = await collectBody(reply.body);
        const source = describeSource(opened.value);
        return Result.ok({ reply, chunks, source });
      } catch (failure) {
        relayed.mayHaveRun = true;
        const { message } = exchange.createFault(failure);
        this.#logBreak(relayed, opened.value, message);
        const refusal = this.#judgeBreak(relayed, message);
        if (refusal !== undefined) {
          return Result.err(refusal);
        }
      } finally {
        end(ATTEMPT_ENDED);
      }
    }
  }

  #writeWhole(
    relayed: RelayedRequest,
    { reply, chunks, source }: WholeReply,
  ): DeliveredResponse {
    const method = relayed.request.method ?? "GET";
    writeWholeReply(relayed.response, method, reply, chunks);
    const firstByteAt = this.#clock.now();
    return {
      ...source,
      status: reply.status,
      firstByteAt,
      events: 0,
      longestGapMs: 0,
    };
  }

  /**
   * Passes events on as they come. A stream that breaks goes on at another
   * upstream after the last whole event, under the head of the first one.
   */
  async #answerStream(relayed: RelayedRequest): Promise<Outcome> {
    const progress: StreamProgress = {
      lastEventId: relayed.facts.lastEventId,
      firstByteAt: undefined,
      events: 0,
      status: OK_STATUS,
      lastEventAt: undefined,
      longestGapMs: 0,
    };
    for (;;) {
      const opened = await this.#attempts.open(relayed, progress.lastEventId);
      if (opened.isErr) {
        return Result.err(opened.error);
      }
      const attempt = opened.value;
      const source = describeSource(attempt);
      try {
        if (attempt.reply.status !== OK_STATUS) {
          const { reply } = attempt;
          return await this.#passFailure(relayed, progress, reply, source);
        }
        await this.#pump(relayed, attempt, progress);
        relayed.response.end();
        const firstByteAt = progress.firstByteAt ?? this.#clock.now();
        return Result.ok({ ...progress, ...source, firstByteAt });
      } catch (failure) {
        relayed.mayHaveRun = true;
        const { message } = attempt.exchange.createFault(failure);
        this.#logBreak(relayed, attempt, message, progress.events);
        const refusal = this.#judgeBreak(relayed, message);
        if (refusal !== undefined) {
          return Result.err(refusal);
        }
      } finally {
        attempt.end(ATTEMPT_ENDED);
      }
    }
  }

  /** Passes on all events; throws where the upstream broke off. */
  async #pump(
    { response, facts }: RelayedRequest,
    { reply, ticket }: OpenAttempt,
    progress: StreamProgress,
  ): Promise<void> {
    const splitter = new EventSplitter(
      progress.lastEventId ?? facts.lastEventId,
    );
    for await (const chunk of reply.body) {
      ticket.recordEvent();
      const block = splitter.push(chunk);
      if (block === undefined) {
        continue;
      }
      if (!response.headersSent) {
        writeStreamHead(response, reply);
      }
      this.#noteEvents(progress);
      progress.events += block.count;
      progress.lastEventId = block.lastId ?? progress.lastEventId;
      response.write(block.bytes);
    }
    if (splitter.isInsideEvent) {
      throw new Error("the stream ended inside an event");
    }
    if (!response.headersSent) {
      writeStreamHead(response, reply);
    }
  }

  #noteEvents(progress: StreamProgress): void {
    const now = this.#clock.now();
    const gapMs = now - (progress.lastEventAt ?? now);
    progress.firstByteAt ??= now;
    progress.lastEventAt = now;
    progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
  }

  /** An upstream's refusal of a stream has a body like any other response. */
  async #passFailure(
    relayed: RelayedRequest,
    progress: StreamProgress,
    reply: UpstreamReply,
    source: AnswerSource,
  ): Promise<Outcome> {
    const chunks = await collectBody(reply.body);
    if (progress.events > 0) {
      return Result.err(
        new Refusal(
          "upstream-unavailable",
          "may-have-run",
          `the resumed stream was answered with ${reply.status}`,
        ),
      );
    }
    return Result.ok(this.#writeWhole(relayed, { reply, chunks, source }));
  }

  /** The final refusal after a break; undefined if another attempt may be. */
  #judgeBreak(relayed: RelayedRequest, message: string): Refusal | undefined {
    if (relayed.gone.aborted || this.#clock.now() >= relayed.deadlineAt) {
      return new Refusal("deadline", "may-have-run", message);
    }
    const { kind, isResumable } = relayed.route;
    const isSafe = kind === "idempotent" || isResumable;
    return isSafe && this.#attempts.mayRepeat(relayed)
      ? undefined
      : refuseAfterFault(relayed, message);
  }

  #logBreak(
    relayed: RelayedRequest,
    { choice }: OpenAttempt,
    error: string,
    events = 0,
  ): void {
    this.#logger.info("answer_broken", {
      request: relayed.id,
      instance: choice.instance.id,
      group: choice.group?.name,
      events,
      error,
      left_ms: Math.round(relayed.deadlineAt - this.#clock.now()),
    });
  }
}

function describeSource({ choice, facts }: OpenAttempt): AnswerSource {
  return {
    instance: choice.instance.id,
    group: choice.group?.name,
    load: choice.load,
    upstreamLoad: facts.upstreamLoad,
  };
}
