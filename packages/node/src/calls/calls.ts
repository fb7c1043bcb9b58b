/**
 * Calls to plain services; those that are not idempotent run at most once.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  type Clock,
  Condition,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { Log, PlainReply, PlainServices } from "@zinniahill/platform";
import { CallReducer, type RememberedCall } from "@zinniahill/policy";
import {
  CallRecord,
  Refusal,
  type ServiceRule,
  type Settings,
  type Verdict,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";

/** A call of a client account to a plain service. */
export interface ServiceCall {
  readonly request: string;
  readonly account: string;
  readonly service: ServiceRule;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly key: string;
  readonly body: Buffer;
}

const PAGE_ENTRIES = 500;
const RETRY_PAUSE_MS = 200;
const RETRY_AFTER_MS = 1000;

/** Makes calls and remembers those that must not be repeated. */
export class Calls implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #log: Log;
  #settings: Settings;
  #plainServices: PlainServices;
  #tasks: TaskGroup;
  #reducer: CallReducer;
  #changed = new Condition();
  #readUpTo = 0;
  #isLogReachable = false;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#plainServices = kernel.find("plainServices");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#reducer = new CallReducer(
      this.#settings.limits["remembered-calls"],
    );
  }

  start(): void {
    this.#tasks.repeat(
      "read_calls",
      RETRY_PAUSE_MS,
      (signal) => this.#readStream(signal),
    );
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { readUpTo: this.#readUpTo, remembered: this.#reducer.size };
  }

  /** Makes a call, at most once unless its method may be repeated. */
  call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<PlainReply, Refusal>> {
    const isRetrySafe = call.service["retry-safe"].includes(call.method);
    return isRetrySafe ? this.#dispatchAny(call, signal) : this.#callOnce(call);
  }

  async #callOnce(call: ServiceCall): Promise<Result<PlainReply, Refusal>> {
    const deadline = this.#clock.now() + this.#settings.timing["call-deadline"];
    const key = hashParts(call.account, call.service.name, call.key);
    const bodyHash = hashParts(
      call.method,
      call.path,
      call.body.toString("base64"),
    );
    const known = this.#reducer.find(key);
    if (known !== undefined) {
      return answerRepeat(known, bodyHash);
    }
    const intent = this.#random.id();
    const claimed = await this.#claim(intent, key, bodyHash, deadline);
    if (claimed.isErr) {
      return Result.err(claimed.error);
    }
    if (claimed.value.intent !== intent) {
      return answerRepeat(claimed.value, bodyHash);
    }
    if (this.#clock.now() >= deadline) {
      await this.#conclude(intent, key, "not-run");
      return Result.err(
        new Refusal("deadline", "not-run", "the deadline passed"),
      );
    }
    const reply = await this.#dispatch(call, deadline);
    const verdict = reply.isOk ? "ran" : reply.error.verdict;
    if (verdict !== "may-have-run") {
      await this.#conclude(
        intent,
        key,
        verdict,
        reply.isOk ? reply.value : undefined,
      );
    }
    return reply;
  }

  /** Appends an intent and waits until the first one for the key is read. */
  async #claim(
    intent: string,
    key: string,
    bodyHash: string,
    deadline: number,
  ): Promise<Result<RememberedCall, Refusal>> {
    if (!this.#isLogReachable) {
      return Result.err(createLogRefusal());
    }
    const node = this.#settings.node.name;
    await this.#log.append("calls", [
      { kind: "intent", id: intent, node, key, bodyHash },
    ]);
    try {
      await withDeadline(
        this.#clock,
        deadline - this.#clock.now(),
        this.#tasks.signal,
        (signal) =>
          this.#changed.until(
            () => this.#reducer.find(key) !== undefined,
            signal,
          ),
      );
    } catch {
      await this.#conclude(intent, key, "not-run");
      return Result.err(createLogRefusal());
    }
    return Result.ok(this.#reducer.find(key)!);
  }

  async #dispatch(
    call: ServiceCall,
    deadline: number,
  ): Promise<Result<PlainReply, Refusal>> {
    let last: Result<PlainReply, Refusal> | undefined;
    for (const address of call.service.upstreams) {
      const remainingMs = deadline - this.#clock.now();
      if (remainingMs <= 0) {
        break;
      }
      const reply = await this.#plainServices.call(address, {
        method: call.method,
        path: call.path,
        headers: createHeaders(call),
        body: call.body,
      }, remainingMs);
      if (reply.isOk) {
        return Result.ok(reply.value);
      }
      const { verdict, message } = reply.error;
      last = Result.err(createUpstreamRefusal(verdict, message));
      if (verdict !== "not-run") {
        return last;
      }
    }
    return last ?? Result.err(
      new Refusal("deadline", "not-run", "the deadline passed"),
    );
  }

  async #dispatchAny(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<PlainReply, Refusal>> {
    const deadline = this.#clock.now() + this.#settings.timing["call-deadline"];
    let reply = await this.#dispatch(call, deadline);
    if (reply.isErr && !signal.aborted) {
      reply = await this.#dispatch(call, deadline);
    }
    return reply;
  }

  async #conclude(
    intent: string,
    key: string,
    verdict: Verdict,
    reply?: PlainReply,
  ): Promise<void> {
    const appended = await this.#log.append("calls", [{
      kind: "outcome",
      id: this.#random.id(),
      node: this.#settings.node.name,
      key,
      intent,
      verdict,
      status: reply?.status ?? 0,
      contentType: reply?.contentType ?? "",
      body: reply?.body.toString("base64") ?? "",
    }]);
    if (appended.isErr) {
      this.#logger.warn("outcome_not_appended", { intent });
    }
  }

  async #readStream(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.#log.read("calls", {
        from: this.#readUpTo + 1,
        max: PAGE_ENTRIES,
        waitMs: this.#settings.platform["log-poll"],
      }, signal);
      this.#isLogReachable = page.isOk;
      if (page.isErr) {
        return;
      }
      for (const { offset, records } of page.value.entries) {
        for (const candidate of records) {
          const record = CallRecord.safeParse(candidate);
          if (record.success) {
            this.#reducer.apply(record.data);
          }
        }
        this.#readUpTo = offset;
      }
      this.#changed.notify();
    }
  }
}

function answerRepeat(
  known: RememberedCall,
  bodyHash: string,
): Result<PlainReply, Refusal> {
  if (known.bodyHash !== bodyHash) {
    return Result.err(
      new Refusal(
        "key-reused",
        "not-run",
        "the idempotency key was used with another request",
      ),
    );
  }
  if (known.outcome === undefined) {
    return Result.err(
      new Refusal(
        "call-in-progress",
        "may-have-run",
        "the first call with this key has no known outcome",
      ),
    );
  }
  const { status, contentType, body } = known.outcome;
  return Result.ok({ status, contentType, body: Buffer.from(body, "base64") });
}

function createHeaders(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = { "idempotency-key": call.key };
  if (call.contentType !== "") {
    headers["content-type"] = call.contentType;
  }
  return headers;
}

function createLogRefusal(): Refusal {
  return new Refusal(
    "log-unavailable",
    "not-run",
    "the call cannot be recorded now",
    RETRY_AFTER_MS,
  );
}

function createUpstreamRefusal(verdict: Verdict, message: string): Refusal {
  return verdict === "not-run"
    ? new Refusal("upstream-unavailable", verdict, message, RETRY_AFTER_MS)
    : new Refusal("outcome-unknown", verdict, message);
}

function hashParts(...parts: readonly string[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    hash.update(part).update("\0");
  }
  return hash.digest("base64url");
}
