/**
 * Dispatches calls to the upstreams of a plain service.
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

/** Lets an upstream that supports idempotency keys detect repeats itself. */
const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Limit of passes over all upstreams for a retry-safe call. */
const MAX_RETRY_SAFE_PASSES = 2;

/** Sends calls to upstreams. */
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
   * Dispatches a call that must run at most once. Tries the next upstream only
   * if the call is known not to have run. The deadline is checked immediately
   * before each send, as the process may have been paused.
   */
  async dispatchOnce(
    call: ServiceCall,
    deadline: number,
  ): Promise<ServiceReply> {
    let lastRefusal: Refusal | undefined;
    for (const address of call.service.upstreams) {
      const reply = await this.#sendTo(address, call, deadline);
      if (reply.isOk || reply.error.verdict !== "not-run") {
        return reply;
      }
      lastRefusal = reply.error;
    }
    return Result.err(lastRefusal ?? createDeadlineRefusal());
  }

  /** Dispatches a retry-safe call until an upstream replies. */
  async dispatchWithRetries(
    call: ServiceCall,
    deadline: number,
    signal: AbortSignal,
  ): Promise<ServiceReply> {
    let refusal = createDeadlineRefusal();
    for (let pass = 0; pass < MAX_RETRY_SAFE_PASSES; pass++) {
      for (const address of call.service.upstreams) {
        if (signal.aborted) {
          return Result.err(refusal);
        }
        const reply = await this.#sendTo(address, call, deadline, signal);
        if (reply.isOk) {
          return reply;
        }
        refusal = combineRefusals(refusal, reply.error);
      }
    }
    return Result.err(refusal);
  }

  async #sendTo(
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
        headers: { ...headers, [IDEMPOTENCY_KEY_HEADER]: call.idempotencyKey },
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

/** Orders verdicts by how certain it is that the call ran. */
const EXECUTION_CERTAINTY: { readonly [Kind in Verdict]: number } = {
  "not-run": 0,
  "may-have-run": 1,
  "ran": 2,
};

/**
 * Returns the refusal with the stronger evidence that the call ran: a later
 * attempt that did not run does not undo an earlier one that may have.
 */
function combineRefusals(earlier: Refusal, later: Refusal): Refusal {
  return EXECUTION_CERTAINTY[later.verdict] >=
      EXECUTION_CERTAINTY[earlier.verdict]
    ? later
    : earlier;
}
