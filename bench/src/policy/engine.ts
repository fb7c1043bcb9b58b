/**
 * A small engine: continuous batching, a prefix cache of limited memory and a
 * load report that lags.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** Batch slots of a group. */
export const SLOTS = 16;
/** Prompt tokens of one cached block. */
export const BLOCK_TOKENS = 128;
const STEP_BASE_MS = 22;
const STEP_MS_PER_REQUEST = 0.8;
const PREFILL_MS_PER_TOKEN = 0.02;
/** Prompt tokens that one step takes in. */
const PREFILL_BUDGET = 1024;
const REPORT_INTERVAL_MS = 250;

/** Time of a step with a full batch, apart from prompts. */
export const FULL_STEP_MS = STEP_BASE_MS + STEP_MS_PER_REQUEST * SLOTS;
/** Time that the prompt of one block adds to a step. */
export const BLOCK_MS = BLOCK_TOKENS * PREFILL_MS_PER_TOKEN;

/** One attempt at a request. */
export interface Job {
  readonly priority: number;
  /** Hashes of the growing prefixes of the prompt. */
  readonly prefix: readonly string[];
  tokensLeft: number;
  onToken(): void;
  onEnd(): void;
}

/** A change of the cache. */
export interface CacheEvent {
  readonly stored: readonly string[];
  readonly removed: readonly string[];
}

/** Settings of one engine. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly cacheBlocks: number;
  readonly onCacheEvent?: ((event: CacheEvent) => void) | undefined;
}

/** Runs jobs in order of priority, one token each in a step. */
export class BenchEngine {
  /** Multiplies the time of a step. */
  slowness = 1;
  /** Whether steps make no tokens. */
  isStalled = false;
  hitBlocks = 0;
  seenBlocks = 0;
  #options: EngineOptions;
  #running: Job[] = [];
  #waiting: Job[] = [];
  #cache = new Map<string, true>();
  #isStepping = false;
  #report = { running: 0, waiting: 0, at: 0 };

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#takeReport();
  }

  /** The load as it was last reported. */
  get report(): { running: number; waiting: number; at: number } {
    return this.#report;
  }

  submit(job: Job): void {
    const index = this.#waiting.findIndex(({ priority }) =>
      priority > job.priority
    );
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, job);
    this.#scheduleStep();
  }

  cancel(job: Job): void {
    this.#running = this.#running.filter((other) => other !== job);
    this.#waiting = this.#waiting.filter((other) => other !== job);
  }

  #takeReport(): void {
    const { clock } = this.#options;
    this.#report = {
      running: this.#running.length,
      waiting: this.#waiting.length,
      at: clock.now(),
    };
    clock.schedule(REPORT_INTERVAL_MS, () => this.#takeReport());
  }

  #scheduleStep(): void {
    if (this.#isStepping) {
      return;
    }
    this.#isStepping = true;
    const prefill = this.isStalled ? 0 : this.#fillBatch();
    const ms = STEP_BASE_MS + STEP_MS_PER_REQUEST * this.#running.length +
      PREFILL_MS_PER_TOKEN * prefill;
    this.#options.clock.schedule(ms * this.slowness, () => this.#endStep());
  }

  #endStep(): void {
    this.#isStepping = false;
    for (const job of this.isStalled ? [] : this.#running) {
      job.tokensLeft--;
      job.onToken();
    }
    const ended = this.#running.filter(({ tokensLeft }) => tokensLeft <= 0);
    this.#running = this.#running.filter(({ tokensLeft }) => tokensLeft > 0);
    ended.forEach((job) => job.onEnd());
    if (this.#running.length + this.#waiting.length > 0) {
      this.#scheduleStep();
    }
  }

  /** Starts waiting jobs; returns the prompt tokens that are not cached. */
  #fillBatch(): number {
    let prefill = 0;
    while (
      this.#running.length < SLOTS && this.#waiting.length > 0 &&
      prefill < PREFILL_BUDGET
    ) {
      const job = this.#waiting.shift()!;
      this.#running.push(job);
      prefill += this.#cachePrompt(job.prefix) * BLOCK_TOKENS;
    }
    return prefill;
  }

  #cachePrompt(prefix: readonly string[]): number {
    let hits = 0;
    while (hits < prefix.length && this.#cache.has(prefix[hits]!)) {
      hits++;
    }
    this.hitBlocks += hits;
    this.seenBlocks += prefix.length;
    for (const hash of prefix.toReversed()) {
      this.#cache.delete(hash);
      this.#cache.set(hash, true);
    }
    const removed: string[] = [];
    for (const hash of this.#cache.keys()) {
      if (this.#cache.size <= this.#options.cacheBlocks) {
        break;
      }
      this.#cache.delete(hash);
      removed.push(hash);
    }
    this.#options.onCacheEvent?.({ stored: prefix.slice(hits), removed });
    return prefix.length - hits;
  }
}
