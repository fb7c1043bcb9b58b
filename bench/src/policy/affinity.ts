/**
 * Cache hits of prompt prefixes, and what affinity costs.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import { type PrefixStore, RecencyStore } from "@zinniahill/policy";
import { EVICTIONS } from "./eviction.ts";
import { Fleet, FULL, GROUPS, type Variant } from "./fleet.ts";
import { emit } from "./output.ts";
import { createRules } from "./rules.ts";
import { GROUP_RATE, type Recorder, runTraffic } from "./traffic.ts";

const SEED = 31;
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
      emit({
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
  for (const load of [0.8, 2]) {
    const recency = await run(load, FULL, () => new RecencyStore(INDEX_SIZE));
    for (const [name, createStore] of Object.entries(EVICTIONS)) {
      const other = await run(load, FULL, () => createStore(INDEX_SIZE));
      emit({
        name: `eviction/load-${load}x/${name}/cache-hits`,
        value: other.hits,
        unit: "share",
        baseline: recency.hits,
        seed: SEED,
      });
      emit({
        name: `eviction/load-${load}x/${name}/tokens-per-second`,
        value: other.recorder.tokens / 10,
        unit: "tokens/s",
        baseline: recency.recorder.tokens / 10,
        seed: SEED,
      });
    }
  }
}

async function run(
  load: number,
  variant: Variant,
  createPrefixStore = () => new RecencyStore() as PrefixStore,
): Promise<Run> {
  const rules = createRules();
  const fleet = new Fleet({
    seed: SEED,
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
    seed: SEED,
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
