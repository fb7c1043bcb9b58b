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
import type { RememberedCall } from "@zinniahill/policy";
import type { Refusal, Settings, Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";
import { AppendQueue } from "./append-queue.ts";
import { CallDispatcher } from "./call-dispatcher.ts";
import { CallHistory, createCallRecords } from "./call-history.ts";
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
  #history: CallHistory;
  #stateChanged = new Condition();
  #isLogReadable = false;
  /** Until then, other nodes may have yet to append what the log lost. */
  #claimsPausedUntil = 0;

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
    this.#history = new CallHistory(this.#logger, {
      maxCalls: this.#settings.limits["remembered-calls"],
      onRead: (id) => this.#queue.markRead(id),
      onLost: (key, call) => this.#appendAgain(key, call),
    });
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
      readUpTo: this.#history.readUpTo,
      gaps: this.#history.gapCount,
      isLogReadable: this.#isLogReadable,
      remembered: this.#history.reducer.size,
      keptReplyBytes: this.#history.reducer.bodyBytes,
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
    const known = this.#history.reducer.find(keyHash);
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
    const initialGapCount = this.#history.gapCount;
    const node = this.#settings.node.name;
    this.#queue.add({
      kind: "intent",
      id: intent,
      node,
      key: keyHash,
      bodyHash,
    });
    const isRead = () =>
      this.#history.reducer.find(keyHash)?.intent === intent ||
      this.#history.reducer.hasEnded(intent);
    // The expired records may include an earlier intent for the key.
    const hasFailed = () =>
      !this.#canRecord() || this.#history.gapCount !== initialGapCount;
    await this.#waitUntil(() => isRead() || hasFailed(), keyedCall.deadline);
    if (this.#history.gapCount !== initialGapCount || !isRead()) {
      this.#abandonClaim(keyedCall, intent);
      return Result.err(createLogUnavailableRefusal());
    }
    return Result.ok(!this.#history.reducer.hasEnded(intent));
  }

  #canRecord(): boolean {
    const canAppend = this.#queue.size === 0 ||
      this.#queue.consecutiveFailures < MAX_CONSECUTIVE_APPEND_FAILURES;
    const isSettled = !this.#history.isRebuilding &&
      this.#clock.now() >= this.#claimsPausedUntil;
    return this.#isLogReadable && isSettled && canAppend;
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
        from: this.#history.readUpTo + 1,
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
      if (this.#history.apply(page.value)) {
        this.#pauseClaims();
      }
      this.#stateChanged.notify();
    }
  }

  /**
   * A node that has not read lost records must not claim their keys. Every node
   * that runs sees the restore within the longest read; one more time limit
   * each is for its reading again and for its append.
   */
  #pauseClaims(): void {
    const { "log-poll": pollMs, "log-timeout": timeoutMs } =
      this.#settings.platform;
    this.#claimsPausedUntil = this.#clock.now() + pollMs + 3 * timeoutMs;
  }

  /** Appends a lost call again if this node is the one that dispatched it. */
  #appendAgain(key: string, call: RememberedCall): void {
    if (call.node === this.#settings.node.name) {
      createCallRecords(key, call, this.#random.id())
        .forEach((record) => this.#queue.add(record));
    }
  }
}
