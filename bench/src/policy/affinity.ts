/**
 * Cache hits of prompt prefixes, and what affinity costs.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import { DeepestFirstStore, type PrefixStore } from "@zinniahill/policy";
import { EVICTIONS } from "./eviction.ts";
import { Fleet, GROUPS } from "./fleet.ts";
import { writeFigure } from "../report.ts";
import { createRules } from "./rules.ts";
import { GROUP_RATE, type Recorder, runTraffic } from "./traffic.ts";
import { FULL, type Variant } from "./variant.ts";

const SEED = 31;
const EVICTION_SEEDS = [31, 32, 33];
const PROMPTS = 400;
const SHARED_BLOCKS = 6;
/** Blocks that one engine can hold: a tenth of all shared prompts. */
const CACHE_BLOCKS = 400;
/** Prefixes of one group in the index when ways of eviction are compared. */
const INDEX_SIZE = 200;
const LOADS = [0.5, 0.8, 2];

interface Run {
  readonly recorder: Recorder;
  readonly hits: number;
}

/** Measures affinity beside routing without it. */
export async function measureAffinity(): Promise<void> {
  for (const load of LOADS) {
    const affine = await run(load, FULL);
    const plain = await run(load, { ...FULL, affinity: false });
    const name = `affinity/load-${load}x`;
    const figures: Record<string, { unit: string; count(run: Run): number }> = {
      "cache-hits": { unit: "share", count: ({ hits }) => hits },
      "first-token-p95": {
        unit: "ms",
        count: ({ recorder }) => recorder.ranks.normal.firstToken.at(95),
      },
      "token-gap-p95": {
        unit: "ms",
        count: ({ recorder }) => recorder.ranks.normal.gap.at(95),
      },
      "tokens-per-second": {
        unit: "tokens/s",
        count: ({ recorder }) => recorder.tokens / 10,
      },
    };
    for (const [figure, { unit, count }] of Object.entries(figures)) {
      writeFigure({
        name: `${name}/${figure}`,
        value: count(affine),
        unit,
        baseline: count(plain),
        seed: SEED,
      });
    }
  }
}

/** Measures ways to drop prefixes from an index of limited size. */
export async function measureEviction(): Promise<void> {
  for (const seed of EVICTION_SEEDS) {
    await measureEvictionWith(seed);
  }
}

async function measureEvictionWith(seed: number): Promise<void> {
  for (const load of [0.8, 2]) {
    const tail = await run(
      load,
      FULL,
      seed,
      () => new DeepestFirstStore(INDEX_SIZE),
    );
    for (const [name, createStore] of Object.entries(EVICTIONS)) {
      const other = await run(
        load,
        FULL,
        seed,
        () => createStore(INDEX_SIZE),
      );
      writeFigure({
        name: `eviction/load-${load}x/tail-against-${name}/cache-hits`,
        value: tail.hits,
        unit: "share",
        baseline: other.hits,
        seed,
      });
      writeFigure({
        name: `eviction/load-${load}x/tail-against-${name}/tokens-per-second`,
        value: tail.recorder.tokens / 10,
        unit: "tokens/s",
        baseline: other.recorder.tokens / 10,
        seed,
      });
    }
  }
}

async function run(
  load: number,
  variant: Variant,
  seed = SEED,
  createPrefixStore = () => new DeepestFirstStore() as PrefixStore,
): Promise<Run> {
  const rules = createRules();
  const fleet = new Fleet({
    seed,
    rules,
    variant,
    clientMs: 1,
    cacheBlocks: CACHE_BLOCKS,
    createPrefixStore,
  });
  const flow = {
    account: "account",
    rank: "normal" as const,
    perSecond: load * GROUPS * GROUP_RATE,
    createPrefix,
  };
  const recorder = await runTraffic(fleet, [flow], rules, {
    seed,
    warmUpMs: 15_000,
    durationMs: 10_000,
  });
  let hits = 0;
  let seen = 0;
  for (const engine of fleet.engines.values()) {
    hits += engine.hitBlocks;
    seen += engine.seenBlocks;
  }
  return { recorder, hits: hits / seen };
}

/** A shared prompt, popular ones more often, and one block of its own. */
function createPrefix(random: Random): string[] {
  const prompt = Math.floor(PROMPTS * random.fraction() ** 2);
  const shared = Array.from(
    { length: SHARED_BLOCKS },
    (_, index) => `${prompt}/${index}`,
  );
  return [...shared, random.id()];
}
