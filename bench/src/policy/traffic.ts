/**
 * Callers of the bench and what they see.
 *
 * @module
 */
import { type Random, SeededRandom } from "@zinniahill/kernel";
import { type Rank, RANKS, type Rules } from "@zinniahill/schema";
import { BLOCK_MS, FULL_STEP_MS, SLOTS } from "./engine.ts";
import type { Fleet } from "./fleet.ts";
import { Times } from "./times.ts";

/** One request of a caller. */
export interface BenchRequest {
  readonly account: string;
  readonly rank: Rank;
  readonly prefix: readonly string[];
  /** Tokens that the answer has. */
  readonly tokens: number;
  /** Tokens that the caller allows. */
  readonly maxTokens: number;
}

/** A steady flow of requests. */
export interface Flow {
  readonly account: string;
  readonly rank: Rank;
  readonly perSecond: number;
  readonly fromMs?: number;
  readonly untilMs?: number;
  /** All requests go to this node; without it, to any. */
  readonly node?: number;
  readonly createPrefix?: (random: Random) => string[];
}

const MIN_TOKENS = 16;
const TOKENS_SPAN = 97;
/** Mean number of tokens of an answer. */
export const MEAN_TOKENS = 64;
const MAX_TOKENS = 128;
const PROMPT_BLOCKS = 2;

/** Requests a second that one full group serves. */
export const GROUP_RATE = 1000 /
  (FULL_STEP_MS * MEAN_TOKENS / SLOTS + PROMPT_BLOCKS * BLOCK_MS);

/** What callers of one rank or client account have seen. */
export class Seen {
  readonly firstToken = new Times();
  readonly gap = new Times();
  readonly refusal = new Times();
  offered = 0;
  onTime = 0;
  refused = 0;
  broken = 0;
  tokens = 0;
  served = 0;
}

/** Collects what callers see, by rank and by client account. */
export class Recorder {
  readonly ranks: Record<Rank, Seen> = {
    urgent: new Seen(),
    normal: new Seen(),
    batch: new Seen(),
  };
  readonly accounts = new Map<string, Seen>();
  #rules: Rules;
  #tokenTarget: () => Recorder;

  /** Tokens count where `tokenTarget` says, which may change with time. */
  constructor(rules: Rules, tokenTarget?: () => Recorder) {
    this.#rules = rules;
    this.#tokenTarget = tokenTarget ?? (() => this);
  }

  /** Tokens of all ranks. */
  get tokens(): number {
    return RANKS.reduce((sum, rank) => sum + this.ranks[rank].tokens, 0);
  }

  /** Share of requests with a first token in time, weighted by worth. */
  get worthOnTime(): number {
    let onTime = 0;
    let offered = 0;
    for (const rank of RANKS) {
      const { worth } = this.#rules.ranks[rank];
      onTime += worth * this.ranks[rank].onTime;
      offered += worth * this.ranks[rank].offered;
    }
    return onTime / Math.max(1, offered);
  }

  onOffered(request: BenchRequest): void {
    this.#each(request, (seen) => seen.offered++);
  }

  onRefused(request: BenchRequest, ms: number): void {
    this.#each(request, (seen) => {
      seen.refused++;
      seen.refusal.record(ms);
    });
  }

  onFirstToken(request: BenchRequest, ms: number): void {
    const isOnTime = ms <= this.#rules.ranks[request.rank]["first-token"];
    this.#each(request, (seen) => {
      seen.firstToken.record(ms);
      seen.onTime += isOnTime ? 1 : 0;
    });
  }

  onGap(request: BenchRequest, ms: number): void {
    this.#each(request, (seen) => seen.gap.record(ms));
  }

  onToken(request: BenchRequest): void {
    this.#tokenTarget().#each(request, (seen) => seen.tokens++);
  }

  onBroken(request: BenchRequest): void {
    this.#each(request, (seen) => seen.broken++);
  }

  onServed(request: BenchRequest, _ms: number): void {
    this.#each(request, (seen) => seen.served++);
  }

  #each(request: BenchRequest, change: (seen: Seen) => void): void {
    change(this.ranks[request.rank]);
    const seen = this.accounts.get(request.account) ?? new Seen();
    this.accounts.set(request.account, seen);
    change(seen);
  }
}

/** Sends flows to a fleet; requests after `warmUpMs` are recorded. */
export async function runTraffic(
  fleet: Fleet,
  flows: readonly Flow[],
  rules: Rules,
  options: { seed: number; warmUpMs: number; durationMs: number },
): Promise<Recorder> {
  const recorder = new Recorder(rules);
  // Requests of the warm-up are not recorded, but their later tokens use
  // capacity that the recorded ones do not have.
  const ignored: Recorder = new Recorder(
    rules,
    () => fleet.clock.now() < options.warmUpMs ? ignored : recorder,
  );
  const endMs = options.warmUpMs + options.durationMs;
  flows.forEach((flow, index) => {
    const random = new SeededRandom(options.seed * 1000 + index);
    const untilMs = Math.min(endMs, flow.untilMs ?? endMs);
    const schedule = (at: number) => {
      if (at >= untilMs) {
        return;
      }
      fleet.clock.schedule(at - fleet.clock.now(), () => {
        const request = createRequest(flow, random);
        const target = at < options.warmUpMs ? ignored : recorder;
        target.onOffered(request);
        const node = flow.node ?? random.below(fleet.nodes.length);
        void fleet.serve(request, target, node);
        schedule(at + drawInterval(flow.perSecond, random));
      });
    };
    schedule((flow.fromMs ?? 0) + drawInterval(flow.perSecond, random));
  });
  await fleet.clock.advance(endMs);
  return recorder;
}

function drawInterval(perSecond: number, random: Random): number {
  return -Math.log(1 - random.fraction()) * 1000 / perSecond;
}

function createRequest(flow: Flow, random: Random): BenchRequest {
  const prefix = flow.createPrefix?.(random) ??
    Array.from({ length: PROMPT_BLOCKS }, () => random.id());
  return {
    account: flow.account,
    rank: flow.rank,
    prefix,
    tokens: MIN_TOKENS + random.below(TOKENS_SPAN),
    maxTokens: MAX_TOKENS,
  };
}
