/**
 * Streams from groups: begun, resumed and cancelled inside the caller's task.
 *
 * @module
 */
import {
  type Clock,
  describeError,
  type Logger,
  type Service,
  withDeadline,
} from "@zinniahill/kernel";
import {
  END_INDEX,
  type Engines,
  type EngineStream,
  type Fault,
  TokenSplitter,
} from "@zinniahill/platform";
import {
  type ChatMessage,
  type GroupState,
  type Rank,
  RANKS,
  Refusal,
  type Settings,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Evidence } from "../groups/evidence.ts";
import type { Hosts } from "../groups/hosts.ts";
import type { NodeKernel } from "../services.ts";
import type { Router } from "./router.ts";

/** A request for a stream of tokens. */
export interface StreamRequest {
  readonly request: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly rank: Rank;
  /** Receives each event once and in order. */
  readonly onEvent: (bytes: Uint8Array) => void;
}

/** How a stream ended. */
export interface StreamEnd {
  readonly tokens: number;
  readonly attempts: number;
}

interface Progress {
  next: number;
  isDone: boolean;
}

const MAX_ATTEMPTS = 8;
const NO_GROUP_WAIT_MS = 10_000;
const RETRY_AFTER_MS = 1000;

/** Carries streams from groups to callers. */
export class Streams implements Service {
  #clock: Clock;
  #logger: Logger;
  #engines: Engines;
  #evidence: Evidence;
  #hosts: Hosts;
  #router: Router;
  #settings: Settings;
  #running = 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#evidence = kernel.find("evidence");
    this.#hosts = kernel.find("hosts");
    this.#router = kernel.find("router");
    this.#settings = kernel.find("settings");
  }

  dump(): unknown {
    return { running: this.#running };
  }

  /** Delivers every event of an answer, resuming where a stream stalls. */
  async run(
    request: StreamRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamEnd, Refusal>> {
    this.#running++;
    try {
      return await this.#runAttempts(request, signal);
    } finally {
      this.#running--;
    }
  }

  async #runAttempts(
    request: StreamRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamEnd, Refusal>> {
    const progress: Progress = { next: 0, isDone: false };
    const excluded = new Set<string>();
    let hasRun = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const group = await this.#findGroup(request.model, excluded, signal);
      if (group === undefined) {
        return Result.err(createNoGroupRefusal(hasRun));
      }
      this.#router.begin(group.group);
      const fault = await this.#attempt(request, group, progress, signal);
      this.#router.end(group.group);
      if (progress.isDone) {
        return Result.ok({ tokens: progress.next, attempts: attempt });
      }
      hasRun ||= fault.verdict !== "not-run";
      excluded.add(group.group);
      this.#logger.warn("stream_broken", {
        request: request.request,
        group: group.group,
        next: progress.next,
        error: fault.message,
      });
    }
    return Result.err(createNoGroupRefusal(hasRun));
  }

  /** Waits for a group; one that failed before is taken when no other is. */
  async #findGroup(
    model: string,
    excluded: Set<string>,
    signal: AbortSignal,
  ): Promise<GroupState | undefined> {
    const choose = () =>
      this.#router.choose(model, excluded) ??
        this.#router.choose(model, new Set());
    let group = choose();
    try {
      await withDeadline(
        this.#clock,
        NO_GROUP_WAIT_MS,
        signal,
        async (limited) => {
          while (group === undefined) {
            await this.#evidence.changed.wait(limited);
            group = choose();
          }
        },
      );
    } catch {
      return undefined;
    }
    return group;
  }

  async #attempt(
    request: StreamRequest,
    group: GroupState,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<Fault> {
    const lead = group.hosts[0]!;
    const address = this.#hosts.all.get(lead)?.address;
    if (address === undefined) {
      return { verdict: "not-run", message: "the lead has no address" };
    }
    const stream = await this.#engines.generate(
      address,
      {
        request: request.request,
        group: group.group,
        model: request.model,
        messages: [...request.messages],
        maxTokens: request.maxTokens,
        priority: RANKS.indexOf(request.rank),
        offset: progress.next,
      },
      {
        timeoutMs: this.#settings.timing["stream-progress"],
        newConnection: progress.next > 0,
        signal,
      },
    );
    if (stream.isErr) {
      return stream.error;
    }
    try {
      await this.#forward(request, stream.value, progress, signal);
      return { verdict: "may-have-run", message: "the stream ended early" };
    } catch (failure) {
      return { verdict: "may-have-run", message: describeError(failure) };
    } finally {
      stream.value.close();
    }
  }

  async #forward(
    request: StreamRequest,
    stream: EngineStream,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<void> {
    if (stream.request !== request.request) {
      throw new Error("the stream belongs to another request");
    }
    const splitter = new TokenSplitter();
    const chunks = stream.chunks[Symbol.asyncIterator]();
    const progressMs = this.#settings.timing["stream-progress"];
    while (!progress.isDone) {
      const chunk = await withDeadline(
        this.#clock,
        progressMs,
        signal,
        () => chunks.next(),
      );
      if (chunk.done) {
        return;
      }
      for (const { index, bytes } of splitter.push(chunk.value)) {
        if (index > progress.next) {
          throw new Error(`token ${progress.next} is missing`);
        }
        if (index === END_INDEX) {
          progress.isDone = true;
        } else if (index === progress.next) {
          progress.next++;
          request.onEvent(bytes);
        }
      }
    }
  }
}

function createNoGroupRefusal(hasRun: boolean): Refusal {
  return new Refusal(
    "no-group",
    hasRun ? "may-have-run" : "not-run",
    "no group of the model can be served now",
    RETRY_AFTER_MS,
  );
}
