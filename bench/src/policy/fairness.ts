/**
 * Small client accounts beside large ones, within one rank.
 *
 * @module
 */
import { Fleet, GROUPS } from "./fleet.ts";
import { writeFigure } from "../report.ts";
import { createRules } from "./rules.ts";
import { type Flow, GROUP_RATE, type Recorder, runTraffic } from "./traffic.ts";
import { FULL } from "./variant.ts";

const SEED = 21;
const SMALL_ACCOUNTS = 7;
const SMALL_RATE = 2;
/** The three large accounts together, over what the fleet can take. */
const LARGE_LOADS = [1, 2, 5];

/** Measures a small account's service beside large ones. */
export async function measureFairness(): Promise<void> {
  for (const load of LARGE_LOADS) {
    const [fair, fifo] = [
      await run(load, "ranked"),
      await run(load, "fifo"),
    ];
    const name = `fairness/large-${load}x/small`;
    const figures = {
      "first-token-p95": { unit: "ms", count: countFirstToken },
      "served": { unit: "share", count: countServed },
    };
    for (const [figure, { unit, count }] of Object.entries(figures)) {
      writeFigure({
        name: `${name}/${figure}`,
        value: count(fair),
        unit,
        baseline: count(fifo),
        seed: SEED,
      });
    }
  }
}

function countFirstToken(recorder: Recorder): number {
  return Math.max(
    ...listSmall(recorder).map(({ firstToken }) => firstToken.at(95)),
  );
}

function countServed(recorder: Recorder): number {
  const small = listSmall(recorder);
  const onTime = small.reduce((sum, seen) => sum + seen.onTime, 0);
  return onTime / small.reduce((sum, { offered }) => sum + offered, 0);
}

function listSmall(recorder: Recorder) {
  return [...recorder.accounts]
    .filter(([account]) => account.startsWith("small"))
    .map(([, seen]) => seen);
}

function run(
  load: number,
  admission: "ranked" | "fifo",
): Promise<Recorder> {
  const rules = createRules();
  const fleet = new Fleet({
    seed: SEED,
    rules,
    variant: { ...FULL, admission },
    clientMs: 1,
  });
  const large: Flow[] = [0.5, 0.3, 0.2].map((share, index) => ({
    account: `large-${index}`,
    rank: "normal",
    perSecond: share * load * GROUPS * GROUP_RATE,
  }));
  const small: Flow[] = Array.from({ length: SMALL_ACCOUNTS }, (_, index) => ({
    account: `small-${index}`,
    rank: "normal",
    perSecond: SMALL_RATE,
  }));
  return runTraffic(fleet, [...large, ...small], rules, {
    seed: SEED,
    warmUpMs: 5000,
    durationMs: 10_000,
  });
}
