/**
 * Service by rank under load and in floods.
 *
 * @module
 */
import { type Rank, RANKS } from "@zinniahill/schema";
import { Fleet, GROUPS } from "./fleet.ts";
import { writeFigure } from "../report.ts";
import { createRules } from "./rules.ts";
import {
  type Flow,
  GROUP_RATE,
  MEAN_TOKENS,
  type Recorder,
  runTraffic,
  type Seen,
} from "./traffic.ts";
import { FULL, type Variant } from "./variant.ts";

const SEED = 11;
const WARM_UP_MS = 10_000;
const DURATION_MS = 15_000;
const PERCENTILES = [50, 95, 99] as const;
/** Three large accounts send four fifths of the requests. */
const ACCOUNT_SHARES = [
  0.4,
  0.25,
  0.15,
  ...new Array<number>(7).fill(0.2 / 7),
];

type Loads = Readonly<Record<Rank, number>>;

/** Load of each rank as a multiple of what the fleet can take. */
const LOADS: Readonly<Record<string, Loads>> = {
  "load-0.8x": { urgent: 0.24, normal: 0.32, batch: 0.24 },
  "load-1x": { urgent: 0.3, normal: 0.4, batch: 0.3 },
  "load-2x": { urgent: 0.6, normal: 0.8, batch: 0.6 },
  "load-5x": { urgent: 1.5, normal: 2, batch: 1.5 },
  "flood-batch": { urgent: 0.3, normal: 0.3, batch: 5 },
  "flood-urgent": { urgent: 5, normal: 0.3, batch: 0.3 },
  "flood-both": { urgent: 2.5, normal: 0.3, batch: 2.5 },
};

const VARIANTS: Readonly<
  Record<string, { variant: Variant; floors: boolean }>
> = {
  full: { variant: FULL, floors: true },
  fifo: { variant: { ...FULL, admission: "fifo" }, floors: true },
  "no-floors": { variant: FULL, floors: false },
  "no-yields": { variant: { ...FULL, yields: false }, floors: true },
  "random-routing": { variant: { ...FULL, routing: "random" }, floors: true },
};

/** Measures every load with every variant. */
export async function measureRanks(): Promise<void> {
  for (const clientMs of [1, 3]) {
    const loads = Object.entries(LOADS).filter(([name]) =>
      clientMs === 1 || name === "load-1x"
    );
    for (const [name, load] of loads) {
      await measureLoad(`ranks/${name}/client-${clientMs}ms`, load, clientMs);
    }
  }
}

/** Floors and yields matter in floods only; that keeps the bench short. */
function isMeasured(load: string, variant: string): boolean {
  return variant === "full" || variant === "fifo" ||
    load.includes("flood") || load.includes("load-2x");
}

async function measureLoad(
  name: string,
  load: Loads,
  clientMs: number,
): Promise<void> {
  const runs = new Map<string, { recorder: Recorder; yields: number }>();
  for (const [key, { variant, floors }] of Object.entries(VARIANTS)) {
    if (!isMeasured(name, key)) {
      continue;
    }
    const rules = createRules({ floors });
    const fleet = new Fleet({ seed: SEED, rules, variant, clientMs });
    const recorder = await runTraffic(fleet, createFlows(load), rules, {
      seed: SEED,
      warmUpMs: WARM_UP_MS,
      durationMs: DURATION_MS,
    });
    runs.set(key, { recorder, yields: fleet.yields });
  }
  const full = runs.get("full")!;
  const fifo = runs.get("fifo")!.recorder;
  for (const rank of RANKS) {
    emitRank(`${name}/${rank}`, full.recorder.ranks[rank], fifo.ranks[rank]);
  }
  for (const [key, { recorder }] of runs) {
    if (key === "full") {
      continue;
    }
    writeFigure({
      name: `${name}/worth-on-time/against-${key}`,
      value: full.recorder.worthOnTime,
      unit: "share",
      baseline: recorder.worthOnTime,
      seed: SEED,
    });
    for (const rank of RANKS) {
      writeFigure({
        name: `${name}/${rank}/kept/against-${key}`,
        value: countKept(full.recorder, rank, load),
        unit: "share of the lesser of load and floor",
        baseline: countKept(recorder, rank, load),
        seed: SEED,
      });
    }
  }
  const other = runs.get("no-yields")?.recorder;
  if (other !== undefined) {
    writeFigure({
      name: `${name}/urgent/first-token-p95/against-no-yields`,
      value: full.recorder.ranks.urgent.firstToken.at(95),
      unit: "ms",
      baseline: other.ranks.urgent.firstToken.at(95),
      seed: SEED,
    });
  }
  writeFigure({
    name: `${name}/tokens-per-second`,
    value: full.recorder.tokens / (DURATION_MS / 1000),
    unit: "tokens/s",
    baseline: fifo.tokens / (DURATION_MS / 1000),
    seed: SEED,
  });
  writeFigure({
    name: `${name}/yields`,
    value: full.yields,
    unit: "1",
    seed: SEED,
  });
}

function emitRank(name: string, seen: Seen, baseline: Seen): void {
  for (const percentile of PERCENTILES) {
    writeFigure({
      name: `${name}/first-token-p${percentile}`,
      value: seen.firstToken.at(percentile),
      unit: "ms",
      baseline: baseline.firstToken.at(percentile),
      seed: SEED,
    });
    writeFigure({
      name: `${name}/token-gap-p${percentile}`,
      value: seen.gap.at(percentile),
      unit: "ms",
      baseline: baseline.gap.at(percentile),
      seed: SEED,
    });
  }
  const figures = {
    "on-time": (one: Seen) => one.onTime / one.offered,
    "admitted-on-time": (one: Seen) =>
      one.onTime / Math.max(1, one.firstToken.count),
    "refused": (one: Seen) => one.refused / one.offered,
    "broken": (one: Seen) => one.broken / one.offered,
  };
  for (const [figure, count] of Object.entries(figures)) {
    writeFigure({
      name: `${name}/${figure}`,
      value: count(seen),
      unit: "share",
      baseline: count(baseline),
      seed: SEED,
    });
  }
  writeFigure({
    name: `${name}/refusal-p99`,
    value: seen.refusal.at(99),
    unit: "ms",
    baseline: baseline.refusal.at(99),
    seed: SEED,
  });
}

/** Tokens served, over the lesser of the offered tokens and the floor. */
function countKept(recorder: Recorder, rank: Rank, load: Loads): number {
  const offered = load[rank] * GROUPS * GROUP_RATE * MEAN_TOKENS *
    DURATION_MS / 1000;
  const floor = createRules().ranks[rank].floor * recorder.tokens;
  return recorder.ranks[rank].tokens / Math.min(offered, floor);
}

function createFlows(load: Loads): Flow[] {
  const total = GROUPS * GROUP_RATE;
  return RANKS.flatMap((rank) =>
    ACCOUNT_SHARES.map((share, index) => ({
      account: `account-${index}`,
      rank,
      perSecond: load[rank] * total * share,
    }))
  );
}
