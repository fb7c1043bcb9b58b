/**
 * Dispatches a call to the upstreams of a plain service.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { PlainServices } from "@zinniahill/clients";
import type { Refusal, Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";
import {
  createDeadlineRefusal,
  createUpstreamRefusal,
  type ServiceCall,
  type ServiceReply,
} from "./service-call.ts";

/** Lets an upstream that knows keys refuse a repeat by itself. */
const KEY_HEADER = "idempotency-key";
/** Passes over all upstreams that a retry-safe call may make. */
const RETRY_SAFE_PASSES = 2;

/** Writes calls to upstreams. */
export class CallDispatcher {
  #clock: Clock;
  #logger: Logger;
  #plainServices: PlainServices;

  constructor(clock: Clock, logger: Logger, plainServices: PlainServices) {
    this.#clock = clock;
    this.#logger = logger;
    this.#plainServices = plainServices;
  }

  /**
   * Dispatches once; goes on to the next upstream only while the call is known
   * not to have run. The deadline is checked immediately before each write, as
   * the node may have been paused.
   */
  async dispatchOnce(
    call: ServiceCall,
    deadline: number,
  ): Promise<ServiceReply> {
    let last: Refusal | undefined;
    for (const address of call.service.upstreams) {
      const reply = await this.#write(address, call, deadline);
      if (reply.isOk || reply.error.verdict !== "not-run") {
        return reply;
      }
      last = reply.error;
    }
    return Result.err(last ?? createDeadlineRefusal());
  }

  /** Dispatches a call that may be repeated, until a reply comes. */
  async dispatchWithRetries(
    call: ServiceCall,
    deadline: number,
    signal: AbortSignal,
  ): Promise<ServiceReply> {
    let last = createDeadlineRefusal();
    for (let pass = 0; pass < RETRY_SAFE_PASSES; pass++) {
      for (const address of call.service.upstreams) {
        if (signal.aborted) {
          return Result.err(last);
        }
        const reply = await this.#write(address, call, deadline, signal);
        if (reply.isOk) {
          return reply;
        }
        last = combineRefusals(last, reply.error);
      }
    }
    return Result.err(last);
  }

  async #write(
    address: string,
    call: ServiceCall,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<ServiceReply> {
    const remainingMs = deadline - this.#clock.now();
    if (remainingMs <= 0) {
      return Result.err(createDeadlineRefusal());
    }
    const { method, path, headers, body } = call;
    const reply = await this.#plainServices.call(
      address,
      {
        method,
        path,
        headers: { ...headers, [KEY_HEADER]: call.idempotencyKey },
        body,
      },
      remainingMs,
      signal,
    );
    return reply.mapErr((fault) => {
      this.#logger.warn("upstream_fault", {
        request: call.requestId,
        address,
        verdict: fault.verdict,
        error: fault.message,
      });
      return createUpstreamRefusal(fault.verdict);
    });
  }
}

const CERTAINTY: { readonly [Kind in Verdict]: number } = {
  "not-run": 0,
  "may-have-run": 1,
  "ran": 2,
};

/** A later attempt that was not run does not undo an earlier one. */
function combineRefusals(first: Refusal, second: Refusal): Refusal {
  return CERTAINTY[second.verdict] >= CERTAINTY[first.verdict] ? second : first;
}
