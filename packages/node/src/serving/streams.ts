/**
 * Streams from groups: begun, resumed and cancelled inside the caller's task.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { Engines, Fault } from "@zinniahill/platform";
import {
  type ChatMessage,
  type GroupState,
  type Rank,
  RANKS,
  Refusal,
  type Settings,
  type Verdict,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Evidence } from "../groups/evidence.ts";
import type { Hosts } from "../groups/hosts.ts";
import type { NodeKernel } from "../services.ts";
import type { Router } from "./router.ts";
import { watchFirstToken } from "./first-token-watch.ts";
import { Progress, runAttempt, type TokenSink } from "./stream-attempt.ts";

/** A request for a stream of tokens. */
export interface StreamRequest {
  readonly request: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly rank: Rank;
  /** When the request must have ended, on the node's clock. */
  readonly deadline: number;
  readonly sink: TokenSink;
}

/** How a stream ended. */
export interface StreamEnd {
  readonly attempts: number;
  /** The whole answer. */
  readonly progress: Progress;
}

/** Whether a retry may be made for a request of a rank. */
export type MayRetry = (rank: Rank) => boolean;

/** What is known of one request over all its attempts. */
interface Run {
  readonly request: StreamRequest;
  readonly signal: AbortSignal;
  readonly progress: Progress;
  /** Groups on which the last attempt brought no new token. */
  readonly excluded: Set<string>;
  /** How often each lead was asked. */
  readonly asked: Map<string, number>;
  /** The group of the last attempt, if that one brought new tokens. */
  resumable: string | undefined;
  attempts: number;
  fruitless: number;
  verdict: Verdict;
}

const MAX_FRUITLESS_ATTEMPTS = 8;
const NO_GROUP_WAIT_MS = 10_000;
const RETRY_AFTER_MS = 1000;
/** A present host answers a probe sooner; a missing one costs this wait. */
const PROBE_ANSWER_MS = 250;
const BASE_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1000;

/**
 * Progress deadlines that the first token may take: an engine may queue a
 * request, and the less urgent one for longer.
 */
const FIRST_TOKEN_FACTORS: { readonly [Name in Rank]: number } = {
  urgent: 2,
  normal: 5,
  batch: 30,
};

/**
 * The same for a resume on the same group. Its connection was silent before, so
 * it is left sooner than a group that has only a queue.
 */
const RESUME_FACTOR = 2;

/** Carries streams from groups to callers. */
export class Streams implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #engines: Engines;
  #evidence: Evidence;
  #hosts: Hosts;
  #router: Router;
  #settings: Settings;
  #mayRetry: MayRetry;
  #cancels: TaskGroup;
  #running = 0;

  constructor(kernel: NodeKernel, mayRetry: MayRetry = () => true) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#evidence = kernel.find("evidence");
    this.#hosts = kernel.find("hosts");
    this.#router = kernel.find("router");
    this.#settings = kernel.find("settings");
    this.#mayRetry = mayRetry;
    this.#cancels = new TaskGroup(this.#clock, this.#logger);
  }

  stop(): Promise<void> {
    return this.#cancels.stop();
  }

  dump(): unknown {
    return { running: this.#running, cancels: this.#cancels.size };
  }

  /** Delivers every event of an answer, resuming where a stream stalls. */
  async run(
    request: StreamRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamEnd, Refusal>> {
    const run: Run = {
      request,
      signal,
      progress: new Progress(),
      excluded: new Set(),
      asked: new Map(),
      resumable: undefined,
      attempts: 0,
      fruitless: 0,
      verdict: "not-run",
    };
    this.#running++;
    try {
      return await this.#runAttempts(run);
    } finally {
      this.#running--;
    }
  }

  async #runAttempts(run: Run): Promise<Result<StreamEnd, Refusal>> {
    const { request, progress, signal } = run;
    while (run.fruitless < MAX_FRUITLESS_ATTEMPTS && !signal.aborted) {
      const group = await this.#findGroup(run);
      if (group === undefined) {
        break;
      }
      const fault = await this.#attempt(run, group);
      if (progress.isComplete) {
        return Result.ok({ attempts: run.attempts, progress });
      }
      this.#noteFault(run, group, fault);
      if (!signal.aborted && fault.verdict !== "not-run") {
        await this.#suspect(run, group);
      }
      if (signal.aborted || !this.#mayRetry(request.rank)) {
        break;
      }
      await this.#pause(run);
    }
    return Result.err(createStreamRefusal(run, this.#clock.now()));
  }

  #noteFault(run: Run, group: GroupState, fault: Fault): void {
    const { request, progress, signal } = run;
    if (run.verdict === "not-run") {
      run.verdict = fault.verdict;
    }
    if (progress.next > 0) {
      run.verdict = "ran";
    }
    if (run.resumable === undefined) {
      run.excluded.add(group.group);
    }
    this.#logger.warn("stream_broken", {
      request: request.request,
      group: group.group,
      next: progress.next,
      verdict: fault.verdict,
      caller_gone: signal.aborted,
      error: fault.message,
    });
  }

  /**
   * Has the group probed. A group that brought tokens holds the prefix, so the
   * stream waits a moment for the answer before it goes elsewhere.
   */
  async #suspect(run: Run, { group }: GroupState): Promise<void> {
    this.#evidence.noteSuspect(group);
    if (run.resumable !== group) {
      return;
    }
    await withDeadline(
      this.#clock,
      PROBE_ANSWER_MS,
      run.signal,
      (signal) =>
        this.#evidence.changed.until(
          () => !this.#evidence.isSuspect(group),
          signal,
        ),
    ).catch(() => {});
  }

  /** Waits with full jitter after attempts that brought nothing. */
  async #pause(run: Run): Promise<void> {
    if (run.fruitless === 0) {
      return;
    }
    const longest = BASE_PAUSE_MS * 2 ** (run.fruitless - 1);
    const pauseMs = this.#random.fraction() * Math.min(MAX_PAUSE_MS, longest);
    await this.#clock.sleep(pauseMs, run.signal).catch(() => {});
  }

  /** Waits for a group, no longer than the request may take. */
  async #findGroup(run: Run): Promise<GroupState | undefined> {
    const now = this.#clock.now();
    const waitMs = Math.min(NO_GROUP_WAIT_MS, run.request.deadline - now);
    if (waitMs <= 0) {
      return undefined;
    }
    let group = this.#chooseGroup(run);
    try {
      await withDeadline(
        this.#clock,
        waitMs,
        run.signal,
        async (limited) => {
          while (group === undefined) {
            await this.#evidence.changed.wait(limited);
            group = this.#chooseGroup(run);
          }
        },
      );
    } catch {
      return undefined;
    }
    return group;
  }

  /**
   * Resumes on the same group, whose engine holds the prefix, if it can be
   * served; takes a group that brought nothing only when no other is left.
   */
  #chooseGroup(run: Run): GroupState | undefined {
    const { model } = run.request;
    const same = this.#evidence.listServable(model)
      .find(({ group }) => group === run.resumable);
    return same ?? this.#router.choose(model, run.excluded) ??
      this.#router.choose(model, new Set());
  }

  async #attempt(run: Run, group: GroupState): Promise<Fault> {
    const { progress } = run;
    const address = this.#hosts.findAddress(group.hosts[0]!);
    run.attempts++;
    const before = progress.next;
    this.#router.begin(group.group);
    try {
      return address === undefined
        ? { verdict: "not-run", message: "the lead has no address" }
        : await this.#ask(run, group, address);
    } finally {
      this.#router.end(group.group);
      const hasProgress = progress.next > before;
      run.resumable = hasProgress ? group.group : undefined;
      run.fruitless = hasProgress ? 0 : run.fruitless + 1;
      if (hasProgress) {
        run.excluded.clear();
      }
    }
  }

  async #ask(run: Run, group: GroupState, address: string): Promise<Fault> {
    const { request, progress, signal } = run;
    const asked = run.asked.get(address) ?? 0;
    run.asked.set(address, asked + 1);
    // An engine that closes or cancels the old stream late must not meet the
    // new one under the same id.
    const id = asked === 0 ? request.request : `${request.request}-${asked}`;
    const tokenGapMs = this.#settings.timing["stream-progress"];
    const factor = run.resumable === group.group
      ? RESUME_FACTOR
      : FIRST_TOKEN_FACTORS[request.rank];
    const waiting = watchFirstToken(
      this.#clock,
      progress,
      () => this.#hasMoved(group),
      signal,
    );
    const fault = await runAttempt(this.#clock, this.#engines, {
      address,
      body: {
        request: id,
        group: group.group,
        model: request.model,
        messages: [...request.messages],
        maxTokens: request.maxTokens,
        priority: RANKS.indexOf(request.rank),
        offset: progress.next,
        ...(progress.next > 0 ? { prefix: progress.delivered.read() } : {}),
      },
      newConnection: run.attempts > 1,
      firstTokenMs: tokenGapMs * factor,
      tokenGapMs,
      deadline: request.deadline,
      sink: request.sink,
      progress,
      signal: waiting.signal,
    });
    waiting.end();
    if (!progress.isComplete && fault.verdict !== "not-run") {
      this.#cancels.run("cancel_stream", async () => {
        await this.#engines.cancel(address, id);
      });
    }
    return fault;
  }

  #hasMoved(group: GroupState): boolean {
    return this.#evidence.findObstacle(group) !== undefined &&
      this.#evidence.listServable(group.model).length > 0;
  }
}

const REFUSALS: { readonly [Kind in Verdict]: string } = {
  "not-run": "no group of the model can be served now",
  "may-have-run": "no group has completed the request",
  "ran": "the answer could not be completed",
};

function createStreamRefusal(run: Run, now: number): Refusal {
  const { verdict, request } = run;
  const isLate = now >= request.deadline;
  return new Refusal(
    isLate ? "deadline" : "no-group",
    verdict,
    REFUSALS[verdict],
    RETRY_AFTER_MS,
  );
}
