/**
 * Sends single attempts to upstream instances.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { mayRunAgain } from "@zinniahill/policy";
import { Result } from "true-myth";
import type { HeaderCodec, ResponseMetadata } from "../adapter.ts";
import type { Instance } from "../model/instance.ts";
import type { Dispatcher, Selection } from "../routing/dispatcher.ts";
import type {
  OutstandingRequest,
  OutstandingRequests,
} from "../routing/outstanding-requests.ts";
import type { ProcessExaminer } from "../routing/process-examiner.ts";
import type { Quarantine } from "../routing/quarantine.ts";
import type { UpstreamLimits } from "../routing/upstream-limits.ts";
import type { RelayKernel } from "../services.ts";
import { ConnectionPool } from "./connection-pool.ts";
import type { EventStream } from "./event-stream.ts";
import { Exchange, scheduleAt, type UpstreamResponse } from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";
import type { AttemptOutcome } from "./replacement.ts";
import {
  findFault,
  isAnswerTo,
  isMergedHead,
  MERGED_HEAD,
  MISDIRECTED_STATUS,
} from "./response-check.ts";
import { createUpstreamRequest } from "./upstream-request.ts";
import { UpstreamStatements } from "./upstream-statements.ts";

/** An attempt whose response head has arrived. */
export interface OpenAttempt {
  readonly choice: Selection;
  readonly sentAt: number;
  readonly exchange: Exchange;
  readonly outstandingRequest: OutstandingRequest;
  readonly upstreamResponse: UpstreamResponse;
  readonly responseMetadata: ResponseMetadata;
  /** Events that a replacement has begun to read. */
  readonly events?: EventStream;
  /** Ends the attempt and aborts the upstream's work if it is still running. */
  end(reason: Error): void;
}

/** Shared abort reasons; each abort without one captures a stack trace. */
export const ATTEMPT_ENDED = new Error("the attempt has ended");
const DEADLINE_PASSED = new Error("the deadline has passed");
const NODE_STOPS = new Error("the node stops");
const GROUP_STALLED = new Error("the group has stalled");

/** Makes attempts, and tells other services what they show of upstreams. */
export class AttemptSender {
  #clock: Clock;
  #headerCodec: HeaderCodec;
  #dispatcher: Dispatcher;
  #outstanding: OutstandingRequests;
  #processExaminer: ProcessExaminer;
  #quarantine: Quarantine;
  #limits: UpstreamLimits;
  #pool: ConnectionPool;
  #expirySignal: AbortSignal;
  #statements: UpstreamStatements;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#headerCodec = kernel.find("format");
    this.#dispatcher = kernel.find("dispatcher");
    this.#outstanding = kernel.find("outstanding");
    this.#processExaminer = kernel.find("processExaminer");
    this.#quarantine = kernel.find("quarantine");
    this.#limits = kernel.find("upstreamLimits");
    this.#statements = new UpstreamStatements(kernel);
    this.#pool = new ConnectionPool(this.#clock);
    this.#expirySignal = kernel.find("lifecycle").expirySignal;
  }

  /** Number of connections that are kept for further attempts. */
  get idleConnections(): number {
    return this.#pool.size;
  }

  /** Closes the connections that are kept. */
  stop(): void {
    this.#pool.close();
  }

  /**
   * Makes one attempt, up to the response head; the signal ends it. `onStall` is
   * called while its group is silent, with what ends the attempt.
   */
  async send(
    request: RelayedRequest,
    choice: Selection,
    signal: AbortSignal,
    onStall: (end: () => void) => void,
  ): Promise<AttemptOutcome> {
    const { instance, group } = choice;
    const exchange = this.#createExchange(request, instance);
    const outstandingRequest = this.#outstanding.begin(
      instance.id,
      group,
      request.route.kind === "stream",
    );
    const onAbort = () => exchange.close(signal.reason);
    signal.addEventListener("abort", onAbort, { once: true });
    const withdrawEviction = request.memory
      .onEvict((reason) => exchange.close(reason));
    const onExpiry = () => exchange.close(NODE_STOPS);
    this.#expirySignal.addEventListener("abort", onExpiry, { once: true });
    const cancelDeadline = scheduleAt(
      this.#clock,
      request.deadlineAt,
      () => exchange.close(DEADLINE_PASSED),
    );
    const end = (reason: Error) => {
      cancelDeadline();
      withdrawEviction();
      this.#expirySignal.removeEventListener("abort", onExpiry);
      signal.removeEventListener("abort", onAbort);
      outstandingRequest.end();
      exchange.close(reason);
    };
    if (request.route.repetition === "resume") {
      outstandingRequest.onStall(() =>
        onStall(() => exchange.close(GROUP_STALLED))
      );
    }
    if (signal.aborted) {
      onAbort();
    }
    this.#limits.take(instance);
    const sentAt = this.#clock.now();
    const sent = await exchange.send(
      createUpstreamRequest(
        this.#headerCodec,
        request,
        choice,
        request.deadlineAt - sentAt,
      ),
    );
    if (exchange.hasConnected) {
      request.sentTo.add(instance.id);
    }
    if (sent.isErr) {
      // An attempt that this node has ended says nothing about the upstream.
      if (!exchange.isClosed) {
        await this.recordFailure(request, instance, exchange, sentAt);
      }
      end(ATTEMPT_ENDED);
      return Result.err(sent.error);
    }
    const upstreamResponse = sent.value;
    if (isMergedHead(upstreamResponse, this.#headerCodec)) {
      end(ATTEMPT_ENDED);
      return Result.err(MERGED_HEAD);
    }
    const responseMetadata = this.#headerCodec.parseResponse(
      upstreamResponse.status,
      upstreamResponse.headers,
    );
    this.#statements.apply(instance, {
      request: request.id,
      sentAt,
      status: upstreamResponse.status,
      isOwn: isAnswerTo(request, responseMetadata, exchange.isKept),
    }, responseMetadata);
    const fault = findFault(
      request,
      upstreamResponse,
      responseMetadata,
      exchange.isKept,
    );
    if (fault !== undefined) {
      if (upstreamResponse.status === MISDIRECTED_STATUS) {
        this.#dispatcher.markMisdirected(choice);
      }
      end(ATTEMPT_ENDED);
      return Result.err(fault);
    }
    return Result.ok({
      choice,
      sentAt,
      exchange,
      outstandingRequest,
      upstreamResponse,
      responseMetadata,
      end,
    });
  }

  /** Records that an upstream broke an attempt off, or was not reached. */
  async recordFailure(
    request: RelayedRequest,
    instance: Instance,
    { hasConnected }: Exchange,
    sentAt: number,
  ): Promise<void> {
    if (hasConnected) {
      await this.#quarantine.recordBroken(request, instance, sentAt);
      return;
    }
    this.#dispatcher.markUnreachable(instance);
    if (instance.engine !== undefined) {
      // The request goes elsewhere meanwhile.
      void this.#processExaminer.examine(instance);
    }
  }

  /**
   * A request that must not run twice gets a connection of its own: the close
   * of a kept one may cross with the request, which then may have run.
   */
  #createExchange(
    { route, memory }: RelayedRequest,
    instance: Instance,
  ): Exchange {
    const options = {
      memory,
      hasUpstreamEnded: () => this.#processExaminer.hasEndedByNow(instance),
    };
    return new Exchange(
      instance.address,
      mayRunAgain(route.repetition)
        ? {
          ...options,
          kept: this.#pool.take(instance),
          keep: (connection) => this.#pool.put(instance, connection),
        }
        : options,
    );
  }
}
