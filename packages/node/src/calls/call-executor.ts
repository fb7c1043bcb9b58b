/**
 * Calls to plain services; those that are not idempotent run at most once.
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

/** A call that is to run at most once, with its hashes and deadline. */
interface OnceCall {
  readonly call: ServiceCall;
  readonly key: string;
  readonly bodyHash: string;
  readonly deadline: number;
}

const PAGE_ENTRIES = 500;
const RETRY_PAUSE_MS = 200;
/**
 * Size up to which a reply is kept in the log with its outcome. A larger one is
 * given to the first caller only; a repeat is told that the call ran.
 */
const MAX_KEPT_REPLY_BYTES = 16 * 1024;
/**
 * Failed appends in a row after which waiting intents are given up. One may be
 * a lost reply whose intent is about to be read.
 */
const MAX_APPEND_FAILURES = 2;

/** Makes calls and remembers those that must not be repeated. */
export class CallExecutor implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #log: Log;
  #settings: Settings;
  #dispatch: CallDispatcher;
  #queue: AppendQueue;
  #tasks: TaskGroup;
  #reducer: CallReducer;
  #changed = new Condition();
  #readUpTo = 0;
  /** How often records expired before they were read. */
  #gaps = 0;
  #isLogReadable = false;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#log = kernel.find("log");
    this.#settings = kernel.find("settings");
    this.#dispatch = new CallDispatcher(
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
      RETRY_PAUSE_MS,
      (signal) => this.#readStream(signal),
    );
    this.#tasks.repeat(
      "append_calls",
      RETRY_PAUSE_MS,
      (signal) => this.#queue.run(signal),
    );
    this.#tasks.run("watch_appends", async (signal) => {
      while (!signal.aborted) {
        await this.#queue.appendEnded.wait(signal);
        this.#changed.notify();
      }
    });
  }

  /** Appends the outcomes that wait, for as long as one append may take. */
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
      gaps: this.#gaps,
      isLogReadable: this.#isLogReadable,
      remembered: this.#reducer.size,
      keptReplyBytes: this.#reducer.bodyBytes,
      notAppended: this.#queue.size,
      appends: this.#queue.appendCount,
    };
  }

  /** Makes a call, at most once unless its method may be repeated. */
  execute(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
    const deadline = this.#clock.now() + this.#settings.timing["call-deadline"];
    if (call.service["retry-safe"].includes(call.method)) {
      return this.#dispatch.dispatchWithRetries(call, deadline, signal);
    }
    return this.#callOnce({
      call,
      key: hashCallKey(call),
      bodyHash: hashRequest(call),
      deadline,
    });
  }

  /** Runs on when the caller has gone, so that the outcome is recorded. */
  async #callOnce(once: OnceCall): Promise<ServiceReply> {
    while (this.#clock.now() < once.deadline) {
      const known = await this.#findEnded(once);
      if (known !== undefined) {
        return createRepeatReply(known, once.bodyHash);
      }
      const intent = this.#random.id();
      const claimed = await this.#claim(once, intent);
      if (claimed.isErr) {
        return Result.err(claimed.error);
      }
      if (claimed.value) {
        return this.#runClaimed(once, intent);
      }
    }
    return Result.err(createDeadlineRefusal());
  }

  /** Waits while the first call of a key runs; undefined when it is free. */
  async #findEnded(once: OnceCall): Promise<RememberedCall | undefined> {
    const find = () => this.#findCall(once.key);
    const isRunning = () => {
      const known = find();
      return known?.bodyHash === once.bodyHash && known.outcome === undefined;
    };
    await this.#waitUntil(() => !isRunning(), once.deadline);
    return find();
  }

  /**
   * What the log says of a key, and what this node is about to append. A new
   * intent is queued behind the outcome that frees its key.
   */
  #findCall(key: string): RememberedCall | undefined {
    const known = this.#reducer.find(key);
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
   * Appends an intent and waits until it is read. Resolves to whether it is the
   * first for its key; a claim that is given up never runs.
   */
  async #claim(
    once: OnceCall,
    intent: string,
  ): Promise<Result<boolean, Refusal>> {
    if (!this.#canRecord()) {
      return Result.err(createLogUnavailableRefusal());
    }
    const { key, bodyHash } = once;
    const gaps = this.#gaps;
    const node = this.#settings.node.name;
    this.#queue.add({ kind: "intent", id: intent, node, key, bodyHash });
    const isRead = () =>
      this.#reducer.find(key)?.intent === intent ||
      this.#reducer.hasEnded(intent);
    // After a gap this node may have missed an earlier intent for the key.
    const isLost = () => !this.#canRecord() || this.#gaps !== gaps;
    await this.#waitUntil(() => isRead() || isLost(), once.deadline);
    if (this.#gaps !== gaps || !isRead()) {
      this.#giveUp(once, intent);
      return Result.err(createLogUnavailableRefusal());
    }
    return Result.ok(!this.#reducer.hasEnded(intent));
  }

  #canRecord(): boolean {
    const isAppendable = this.#queue.size === 0 ||
      this.#queue.consecutiveFailures < MAX_APPEND_FAILURES;
    return this.#isLogReadable && isAppendable;
  }

  #giveUp(once: OnceCall, intent: string): void {
    const mayBeInLog = this.#queue.remove(intent);
    if (mayBeInLog) {
      this.#conclude(once, intent, "not-run");
    }
  }

  async #runClaimed(once: OnceCall, intent: string): Promise<ServiceReply> {
    const reply = await this.#dispatch.dispatchOnce(once.call, once.deadline);
    const verdict = reply.isOk ? "ran" : reply.error.verdict;
    this.#conclude(once, intent, verdict, reply.isOk ? reply.value : undefined);
    return reply;
  }

  /** Records how a call ended; the caller's answer does not wait for it. */
  #conclude(
    once: OnceCall,
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
      key: once.key,
      intent,
      verdict,
      status: reply?.status ?? 0,
      contentType: reply?.contentType ?? "",
      body: isBodyOmitted ? "" : reply.body.toString("base64"),
      ...(isBodyOmitted ? { isBodyOmitted } : {}),
    });
    this.#changed.notify();
    this.#logger.info("call_ended", {
      request: once.call.requestId,
      service: once.call.service.name,
      intent,
      verdict,
    });
  }

  /** Waits until a condition holds or the deadline has passed. */
  async #waitUntil(isMet: () => boolean, deadline: number): Promise<void> {
    try {
      await withDeadline(
        this.#clock,
        deadline - this.#clock.now(),
        this.#tasks.signal,
        (signal) => this.#changed.until(isMet, signal),
      );
    } catch {
      // The caller looks at the state itself, whatever ended the wait.
    }
  }

  async #readStream(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.#log.read("calls", {
        from: this.#readUpTo + 1,
        max: PAGE_ENTRIES,
        // While the log is not known to answer, calls are refused, so the first
        // read does not wait for an entry.
        waitMs: this.#isLogReadable ? this.#settings.platform["log-poll"] : 0,
      }, signal);
      this.#isLogReadable = page.isOk;
      if (page.isErr) {
        this.#changed.notify();
        return;
      }
      this.#applyPage(page.value);
      this.#changed.notify();
    }
  }

  #applyPage({ first, entries }: LogPage): void {
    if (first > this.#readUpTo + 1) {
      this.#gaps++;
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
