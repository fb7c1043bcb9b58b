/**
 * Executes calls to plain services; calls that are not retry-safe run at most
 * once.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { Log, PlainServiceReply } from "@zinniahill/clients";
import { CallReducer, type RememberedCall } from "@zinniahill/policy";
import {
  CallRecord,
  type LogPage,
  type Refusal,
  type Settings,
  type Verdict,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";
import { AppendQueue } from "./append-queue.ts";
import { CallDispatcher } from "./call-dispatcher.ts";
import {
  createDeadlineRefusal,
  createLogUnavailableRefusal,
  createRepeatReply,
  hashCallKey,
  hashRequest,
  type ServiceCall,
  type ServiceReply,
} from "./service-call.ts";

/** A call that must run at most once, with its hashes and deadline. */
interface KeyedCall {
  readonly call: ServiceCall;
  readonly keyHash: string;
  /** Hash of the method, path and body. */
  readonly bodyHash: string;
  readonly deadline: number;
}

const MAX_PAGE_ENTRIES = 500;
const RETRY_DELAY_MS = 200;
/**
 * Largest reply stored in the log with its outcome. A larger reply is returned
 * only to the first caller; a repeat is refused with the verdict "ran".
 */
const MAX_KEPT_REPLY_BYTES = 16 * 1024;
/**
 * Consecutive failed appends after which pending claims are abandoned. A single
 * failure may be a lost reply to an append whose intent is about to be read.
 */
const MAX_CONSECUTIVE_APPEND_FAILURES = 2;

/**
 * Executes calls. A call that must run at most once is dispatched only after
 * its intent has been read from the log as the first for its key.
 */
export class CallExecutor implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #log: Log;
  #settings: Settings;
  #dispatcher: CallDispatcher;
  #queue: AppendQueue;
  #tasks: TaskGroup;
  #reducer: CallReducer;
  #stateChanged = new Condition();
  #readUpTo = 0;
  /** How many times records expired before this node read them. */
  #gapCount = 0;
  #isLogReadable = false;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#dispatcher = new CallDispatcher(
      this.#clock,
      this.#logger,
      kernel.find("plainServices"),
    );
    this.#queue = new AppendQueue(this.#clock, this.#logger, this.#log);
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#reducer = new CallReducer(
      this.#settings.limits["remembered-calls"],
    );
  }

  start(): void {
    this.#tasks.repeat(
      "read_calls",
      RETRY_DELAY_MS,
      (signal) => this.#readLog(signal),
    );
    this.#tasks.repeat(
      "append_calls",
      RETRY_DELAY_MS,
      (signal) => this.#queue.run(signal),
    );
    this.#tasks.run("watch_appends", async (signal) => {
      while (!signal.aborted) {
        await this.#queue.appendEnded.wait(signal);
        this.#stateChanged.notify();
      }
    });
  }

  /** Waits up to the log timeout for queued records to be appended. */
  async stop(): Promise<void> {
    await this.#waitUntil(
      () => this.#queue.size === 0,
      this.#clock.now() + this.#settings.platform["log-timeout"],
    );
    await this.#tasks.stop();
  }

  dump(): unknown {
    return {
      readUpTo: this.#readUpTo,
      gaps: this.#gapCount,
      isLogReadable: this.#isLogReadable,
      remembered: this.#reducer.size,
      keptReplyBytes: this.#reducer.bodyBytes,
      notAppended: this.#queue.size,
      appends: this.#queue.appendCount,
    };
  }

  /** Executes a call, at most once unless its method is retry-safe. */
  execute(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
    const deadline = this.#clock.now() + this.#settings.timing["call-deadline"];
    if (call.service["retry-safe"].includes(call.method)) {
      return this.#dispatcher.dispatchWithRetries(call, deadline, signal);
    }
    return this.#executeOnce({
      call,
      keyHash: hashCallKey(call),
      bodyHash: hashRequest(call),
      deadline,
    });
  }

  /** Continues after the caller disconnects, so the outcome is recorded. */
  async #executeOnce(keyedCall: KeyedCall): Promise<ServiceReply> {
    while (this.#clock.now() < keyedCall.deadline) {
      const known = await this.#awaitFirstCall(keyedCall);
      if (known !== undefined) {
        return createRepeatReply(known, keyedCall.bodyHash);
      }
      const intent = this.#random.id();
      const claim = await this.#claimKey(keyedCall, intent);
      if (claim.isErr) {
        return Result.err(claim.error);
      }
      if (claim.value) {
        return this.#dispatchClaimed(keyedCall, intent);
      }
    }
    return Result.err(createDeadlineRefusal());
  }

  /**
   * Waits while the first call with the key runs, if it is the same request.
   * Resolves to that call, or to undefined when the key is free.
   */
  async #awaitFirstCall(
    keyedCall: KeyedCall,
  ): Promise<RememberedCall | undefined> {
    const find = () => this.#findFirstCall(keyedCall.keyHash);
    const isRunning = () => {
      const known = find();
      return known?.bodyHash === keyedCall.bodyHash &&
        known.outcome === undefined;
    };
    await this.#waitUntil(() => !isRunning(), keyedCall.deadline);
    return find();
  }

  /**
   * Looks up the first call with a key in the records read so far and in the
   * queue. A queued "not-run" outcome already frees the key, as a new intent is
   * appended after it.
   */
  #findFirstCall(keyHash: string): RememberedCall | undefined {
    const known = this.#reducer.find(keyHash);
    if (known === undefined || known.outcome !== undefined) {
      return known;
    }
    const outcome = this.#queue.findOutcome(known.intent);
    if (outcome === undefined) {
      return known;
    }
    if (outcome.verdict === "not-run") {
      return undefined;
    }
    const body = outcome.isBodyOmitted ? undefined : outcome.body;
    return { ...known, outcome: { ...outcome, body } };
  }

  /**
   * Appends an intent and waits until it is read from the log. Resolves to
   * whether it is the first for its key. The call of an abandoned claim is never
   * dispatched.
   */
  async #claimKey(
    keyedCall: KeyedCall,
    intent: string,
  ): Promise<Result<boolean, Refusal>> {
    if (!this.#canRecord()) {
      return Result.err(createLogUnavailableRefusal());
    }
    const { keyHash, bodyHash } = keyedCall;
    const initialGapCount = this.#gapCount;
    const node = this.#settings.node.name;
    this.#queue.add({
      kind: "intent",
      id: intent,
      node,
      key: keyHash,
      bodyHash,
    });
    const isRead = () =>
      this.#reducer.find(keyHash)?.intent === intent ||
      this.#reducer.hasEnded(intent);
    // The expired records may include an earlier intent for the key.
    const hasFailed = () =>
      !this.#canRecord() || this.#gapCount !== initialGapCount;
    await this.#waitUntil(() => isRead() || hasFailed(), keyedCall.deadline);
    if (this.#gapCount !== initialGapCount || !isRead()) {
      this.#abandonClaim(keyedCall, intent);
      return Result.err(createLogUnavailableRefusal());
    }
    return Result.ok(!this.#reducer.hasEnded(intent));
  }

  #canRecord(): boolean {
    const canAppend = this.#queue.size === 0 ||
      this.#queue.consecutiveFailures < MAX_CONSECUTIVE_APPEND_FAILURES;
    return this.#isLogReadable && canAppend;
  }

  #abandonClaim(keyedCall: KeyedCall, intent: string): void {
    const mayBeInLog = this.#queue.remove(intent);
    if (mayBeInLog) {
      this.#recordOutcome(keyedCall, intent, "not-run");
    }
  }

  async #dispatchClaimed(
    keyedCall: KeyedCall,
    intent: string,
  ): Promise<ServiceReply> {
    const reply = await this.#dispatcher.dispatchOnce(
      keyedCall.call,
      keyedCall.deadline,
    );
    const verdict = reply.isOk ? "ran" : reply.error.verdict;
    this.#recordOutcome(
      keyedCall,
      intent,
      verdict,
      reply.isOk ? reply.value : undefined,
    );
    return reply;
  }

  /** Queues the outcome of a call; its reply does not wait for the append. */
  #recordOutcome(
    keyedCall: KeyedCall,
    intent: string,
    verdict: Verdict,
    reply?: PlainServiceReply,
  ): void {
    const isBodyOmitted = reply === undefined ||
      reply.body.length > MAX_KEPT_REPLY_BYTES;
    this.#queue.add({
      kind: "outcome",
      id: this.#random.id(),
      node: this.#settings.node.name,
      key: keyedCall.keyHash,
      intent,
      verdict,
      status: reply?.status ?? 0,
      contentType: reply?.contentType ?? "",
      body: isBodyOmitted ? "" : reply.body.toString("base64"),
      ...(isBodyOmitted ? { isBodyOmitted } : {}),
    });
    this.#stateChanged.notify();
    this.#logger.info("call_ended", {
      request: keyedCall.call.requestId,
      service: keyedCall.call.service.name,
      intent,
      verdict,
    });
  }

  /** Waits until a condition holds, the deadline passes or the node stops. */
  async #waitUntil(isMet: () => boolean, deadline: number): Promise<void> {
    try {
      await withDeadline(
        this.#clock,
        deadline - this.#clock.now(),
        this.#tasks.signal,
        (signal) => this.#stateChanged.until(isMet, signal),
      );
    } catch {
      // Callers check the state themselves, whatever ended the wait.
    }
  }

  async #readLog(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.#log.read("calls", {
        from: this.#readUpTo + 1,
        max: MAX_PAGE_ENTRIES,
        // Calls are refused until a read of the log succeeds, so after a
        // failure the read does not wait for new entries.
        waitMs: this.#isLogReadable ? this.#settings.platform["log-poll"] : 0,
      }, signal);
      this.#isLogReadable = page.isOk;
      if (page.isErr) {
        this.#stateChanged.notify();
        return;
      }
      this.#applyPage(page.value);
      this.#stateChanged.notify();
    }
  }

  #applyPage({ first, entries }: LogPage): void {
    if (first > this.#readUpTo + 1) {
      this.#gapCount++;
      this.#logger.warn("calls_expired_unread", {
        read_up_to: this.#readUpTo,
        first,
      });
      this.#readUpTo = first - 1;
    }
    for (const { offset, records } of entries) {
      for (const candidate of records) {
        const record = CallRecord.safeParse(candidate);
        if (record.success) {
          this.#reducer.apply(record.data);
          this.#queue.markRead(record.data.id);
        }
      }
      this.#readUpTo = offset;
    }
  }
}
