/**
 * Streams from groups: begun, resumed and cancelled inside the caller's task.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { Engines, Fault } from "@zinniahill/clients";
import type { GroupState, Rank, Refusal, Settings } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Evidence } from "../groups/evidence.ts";
import type { Hosts } from "../groups/hosts.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { AdmissionControl } from "./admission-control.ts";
import { type AttemptEnd, AttemptRace } from "./attempt-race.ts";
import { GroupWatch, type WatchedAttempt } from "./group-watch.ts";
import type { Router } from "./router.ts";
import { runAttempt } from "./stream-attempt.ts";
import { type StreamEnd, type StreamRequest, StreamRun } from "./stream-run.ts";
import { TokenCount } from "./token-count.ts";

const MAX_FRUITLESS_ATTEMPTS = 8;
const NO_GROUP_WAIT_MS = 10_000;
/** A present host answers a probe sooner; a missing one costs this wait. */
const PROBE_ANSWER_MS = 250;

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
  #logger: Logger;
  #engines: Engines;
  #evidence: Evidence;
  #hosts: Hosts;
  #router: Router;
  #settings: Settings;
  #state: ControlState;
  #admission: AdmissionControl;
  #groups: GroupWatch;
  #tasks: TaskGroup;
  #cancels: TaskGroup;
  #running = 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#evidence = kernel.find("evidence");
    this.#hosts = kernel.find("hosts");
    this.#router = kernel.find("router");
    this.#settings = kernel.find("settings");
    this.#state = kernel.find("state");
    this.#admission = kernel.find("admission");
    this.#groups = new GroupWatch(this.#clock, this.#evidence);
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#cancels = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tasks.run("watch_groups", (signal) => this.#groups.run(signal));
  }

  async stop(): Promise<void> {
    await Promise.all([this.#tasks.stop(), this.#cancels.stop()]);
  }

  dump(): unknown {
    return { running: this.#running, cancels: this.#cancels.size };
  }

  /** Delivers every event of an answer, resuming where a stream stalls. */
  async run(
    request: StreamRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamEnd, Refusal>> {
    const prefix = this.#router.hashPrompt(request.messages);
    const run = new StreamRun(request, prefix, signal);
    this.#running++;
    try {
      return await this.#runAttempts(run);
    } finally {
      this.#running--;
    }
  }

  async #runAttempts(run: StreamRun): Promise<Result<StreamEnd, Refusal>> {
    const { progress, signal } = run;
    while (run.fruitless < MAX_FRUITLESS_ATTEMPTS && !signal.aborted) {
      if (run.hasYielded && !await this.#regainPlace(run)) {
        break;
      }
      const group = await this.#findGroup(run);
      if (group === undefined) {
        break;
      }
      if (run.hasYielded) {
        continue;
      }
      const ends = await this.#raceAttempts(run, group);
      if (progress.isComplete) {
        return Result.ok({ attempts: run.attempts, progress });
      }
      ends.forEach(({ fault }) => run.noteVerdict(fault));
      if (!run.hasYielded && !await this.#prepareRetry(run, ends)) {
        break;
      }
    }
    return Result.err(run.createRefusal(this.#clock.now()));
  }

  /**
   * Waits for a place after a yield. A stream that has delivered tokens asks
   * again when the wait was too long, as its caller cannot repeat the rest.
   */
  async #regainPlace(run: StreamRun): Promise<boolean> {
    const { request, progress, signal } = run;
    this.#logger.info("stream_yielded", {
      request: request.request,
      next: progress.next,
    });
    for (let round = 1; !signal.aborted; round++) {
      const resumed = await request.place.resume(signal);
      if (resumed.isOk) {
        run.refusal = undefined;
        return true;
      }
      run.refusal = resumed.error;
      if (progress.next === 0 || this.#clock.now() >= request.deadline) {
        return false;
      }
      await this.#sleepRetryPause(run, round);
    }
    return false;
  }

  /** Whether another attempt may follow; returns when it may begin. */
  async #prepareRetry(
    run: StreamRun,
    ends: readonly AttemptEnd[],
  ): Promise<boolean> {
    const failed = ends.filter(({ isSuperseded }) => !isSuperseded);
    failed.forEach(({ group, fault }) => this.#noteFault(run, group, fault));
    const { group, fault } = failed.at(-1)!;
    // A group that is known to miss a host needs no probe to confirm it.
    const needsProbe = fault.verdict !== "not-run" &&
      !this.#evidence.isMissing(group);
    if (!run.signal.aborted && needsProbe) {
      await this.#suspect(run, group);
    }
    if (run.signal.aborted || !this.#takeRetry(run)) {
      return false;
    }
    if (run.fruitless > 0) {
      await this.#sleepRetryPause(run, run.fruitless);
    }
    return true;
  }

  /**
   * Takes a retry from the rank's budget. An answer that has begun goes on
   * without one: its caller would lose what it has received.
   */
  #takeRetry({ request, progress }: StreamRun): boolean {
    return this.#admission.mayRetry(request.rank) || progress.next > 0;
  }

  #noteFault(run: StreamRun, group: GroupState, fault: Fault): void {
    if (run.resumable === undefined) {
      run.excluded.add(group.group);
    }
    this.#logger.warn("stream_broken", {
      request: run.request.request,
      group: group.group,
      next: run.progress.next,
      verdict: fault.verdict,
      caller_gone: run.signal.aborted,
      error: fault.message,
    });
  }

  /**
   * Has the group probed. A group that brought tokens holds the prefix, so the
   * stream waits a moment for the answer before it goes elsewhere.
   */
  async #suspect(run: StreamRun, { group }: GroupState): Promise<void> {
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

  /** Waits with full jitter. */
  async #sleepRetryPause(run: StreamRun, retry: number): Promise<void> {
    const pauseMs = this.#admission.drawRetryPauseMs(retry);
    await this.#clock.sleep(pauseMs, run.signal).catch(() => {});
  }

  /** Waits for a group, no longer than the request may take. */
  async #findGroup(run: StreamRun): Promise<GroupState | undefined> {
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
  #chooseGroup(run: StreamRun): GroupState | undefined {
    const { model } = run.request;
    const same = this.#evidence.listServable(model)
      .find(({ group }) => group === run.resumable);
    return same ?? this.#router.choose(model, run.excluded, run.prefix) ??
      this.#router.choose(model, new Set(), run.prefix);
  }

  /** Runs an attempt, and others while its group is in doubt. */
  #raceAttempts(
    run: StreamRun,
    group: GroupState,
  ): Promise<readonly AttemptEnd[]> {
    const race: AttemptRace = new AttemptRace((chosen, signal) =>
      this.#attempt(run, race, chosen, signal)
    );
    race.begin(group);
    return race.finish();
  }

  /** Begins an attempt elsewhere while the one on `group` goes on. */
  #replace(run: StreamRun, race: AttemptRace, { group }: GroupState): void {
    const mayBegin = run.fruitless < MAX_FRUITLESS_ATTEMPTS &&
      !run.signal.aborted && !run.hasYielded;
    if (race.isReplacing || !mayBegin) {
      return;
    }
    const { model, request } = run.request;
    const excluded = new Set([...run.excluded, ...race.groups]);
    const other = this.#router.choose(model, excluded, run.prefix);
    if (other === undefined || !this.#takeRetry(run)) {
      return;
    }
    this.#logger.info("attempt_replaced", { request, group, by: other.group });
    race.begin(other);
  }

  async #attempt(
    run: StreamRun,
    race: AttemptRace,
    group: GroupState,
    signal: AbortSignal,
  ): Promise<Fault> {
    const address = this.#hosts.findAddress(group.hosts[0]!);
    run.attempts++;
    const tokens = new TokenCount(this.#clock, run.request.sink, () => {
      race.supersedeOthers(group.group);
    });
    this.#router.begin(group.group);
    try {
      return address === undefined
        ? { verdict: "not-run", message: "the lead has no address" }
        : await this.#ask(run, address, {
          group,
          tokens,
          onDoubt: () => this.#replace(run, race, group),
        }, signal);
    } finally {
      this.#router.end(group.group);
      run.request.place.noteTokens(tokens.count);
      run.noteProgress(group.group, tokens.count > 0);
    }
  }

  async #ask(
    run: StreamRun,
    address: string,
    watched: WatchedAttempt,
    raceSignal: AbortSignal,
  ): Promise<Fault> {
    const { request, progress } = run;
    const { group, tokens } = watched;
    const { place } = request;
    const id = run.createAttemptId(address);
    const signals = [run.signal, place.yielded, raceSignal];
    const watch = this.#groups.watch(watched, signals);
    const fault = await runAttempt(this.#clock, this.#engines, {
      address,
      body: {
        request: id,
        group: group.group,
        model: request.model,
        messages: [...request.messages],
        maxTokens: request.maxTokens,
        priority: place.priority,
        offset: progress.next,
        ...(progress.next > 0 ? { prefix: progress.delivered.read() } : {}),
      },
      usesNewConnection: run.attempts > 1,
      firstTokenMs: this.#getFirstTokenMs(run, group),
      tokenGapMs: this.#settings.timing["stream-progress"],
      deadline: request.deadline,
      sink: tokens,
      onFirstToken: () => place.noteFirstToken(),
      onTokenGap: (ms) => this.#router.noteTokenGap(group.group, ms),
      progress,
      signal: watch.signal,
    });
    watch.end();
    const isLeft = !progress.isComplete || raceSignal.aborted;
    if (isLeft && fault.verdict !== "not-run") {
      this.#cancels.run("cancel_stream", async () => {
        await this.#engines.cancel(address, id);
      });
    }
    return fault;
  }

  /** How long the engine may take until the first token of an attempt. */
  #getFirstTokenMs({ request, resumable }: StreamRun, group: GroupState) {
    const progressMs = this.#settings.timing["stream-progress"];
    if (resumable === group.group) {
      return progressMs * RESUME_FACTOR;
    }
    const { rank } = request;
    const targetMs = this.#state.rules?.ranks[rank]["first-token"] ?? 0;
    return Math.max(progressMs * FIRST_TOKEN_FACTORS[rank], targetMs);
  }
}
