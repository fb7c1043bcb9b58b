/**
 * Stragglers, stalled groups and retries.
 *
 * @module
 */
import { Fleet, GROUPS } from "./fleet.ts";
import { writeFigure } from "../report.ts";
import { createRules } from "./rules.ts";
import {
  GROUP_RATE,
  MEAN_TOKENS,
  type Recorder,
  runTraffic,
} from "./traffic.ts";
import { FULL, type Variant } from "./variant.ts";

const SEED = 41;
const SLOWNESS = 5;
const STRAGGLERS = 2;
const STALL_FROM_MS = 5000;
const STALL_UNTIL_MS = 15_000;
const AFTER_MS = 5000;

/** Measures ejection of stragglers beside routing without it. */
export async function measureStragglers(): Promise<void> {
  const ejecting = await runStragglers(FULL);
  const plain = await runStragglers({ ...FULL, ejection: false });
  const figures = {
    "first-token-p95": (recorder: Recorder) =>
      recorder.ranks.normal.firstToken.at(95),
    "token-gap-p95": (recorder: Recorder) => recorder.ranks.normal.gap.at(95),
    "token-gap-p99": (recorder: Recorder) => recorder.ranks.normal.gap.at(99),
  };
  for (const [figure, count] of Object.entries(figures)) {
    writeFigure({
      name: `stragglers/${figure}`,
      value: count(ejecting),
      unit: "ms",
      baseline: count(plain),
      seed: SEED,
    });
  }
}

function runStragglers(variant: Variant): Promise<Recorder> {
  const rules = createRules();
  const fleet = new Fleet({ seed: SEED, rules, variant, clientMs: 1 });
  for (const engine of [...fleet.engines.values()].slice(0, STRAGGLERS)) {
    engine.slowness = SLOWNESS;
  }
  const flow = {
    account: "account",
    rank: "normal" as const,
    perSecond: 0.6 * GROUPS * GROUP_RATE,
  };
  return runTraffic(fleet, [flow], rules, {
    seed: SEED,
    warmUpMs: 10_000,
    durationMs: 10_000,
  });
}

interface StallRun {
  readonly recorder: Recorder;
  readonly attemptsPerRequest: number;
  /** The same, from the end of the fault. */
  readonly attemptsAfter: number;
}

/** Measures retries while half of the groups stall, and after. */
export async function measureRetries(): Promise<void> {
  const budget = await runStall(FULL);
  const baselines: Record<string, Variant> = {
    "no-budget": { ...FULL, budget: false },
    "fifo-no-budget": { ...FULL, admission: "fifo", budget: false },
  };
  for (const [name, variant] of Object.entries(baselines)) {
    emitRetries(`retries/against-${name}`, budget, await runStall(variant));
  }
}

function emitRetries(name: string, budget: StallRun, none: StallRun): void {
  writeFigure({
    name: `${name}/attempts-per-request`,
    value: budget.attemptsPerRequest,
    unit: "1",
    baseline: none.attemptsPerRequest,
    seed: SEED,
  });
  writeFigure({
    name: `${name}/attempts-per-request-after`,
    value: budget.attemptsAfter,
    unit: "1",
    baseline: none.attemptsAfter,
    seed: SEED,
  });
  const capacity = GROUPS * GROUP_RATE * MEAN_TOKENS * AFTER_MS / 1000;
  writeFigure({
    name: `${name}/goodput-after`,
    value: budget.recorder.tokens / capacity,
    unit: "share of capacity",
    baseline: none.recorder.tokens / capacity,
    seed: SEED,
  });
  writeFigure({
    name: `${name}/worth-on-time-after`,
    value: budget.recorder.worthOnTime,
    unit: "share",
    baseline: none.recorder.worthOnTime,
    seed: SEED,
  });
}

async function runStall(variant: Variant): Promise<StallRun> {
  const rules = createRules();
  const fleet = new Fleet({ seed: SEED, rules, variant, clientMs: 1 });
  const stalled = [...fleet.engines.values()].slice(0, GROUPS / 2);
  const setStalled = (isStalled: boolean) => () =>
    stalled.forEach((engine) => engine.isStalled = isStalled);
  fleet.clock.schedule(STALL_FROM_MS, setStalled(true));
  fleet.clock.schedule(STALL_UNTIL_MS, setStalled(false));
  const before = { attempts: 0, admitted: 0 };
  fleet.clock.schedule(STALL_UNTIL_MS, () => {
    before.attempts = fleet.attempts;
    before.admitted = fleet.admitted;
  });
  const flows = (["urgent", "normal"] as const).map((rank) => ({
    account: "account",
    rank,
    perSecond: 0.45 * GROUPS * GROUP_RATE,
  }));
  const recorder = await runTraffic(fleet, flows, rules, {
    seed: SEED,
    warmUpMs: STALL_UNTIL_MS,
    durationMs: AFTER_MS,
  });
  return {
    recorder,
    attemptsPerRequest: before.attempts / before.admitted,
    attemptsAfter: (fleet.attempts - before.attempts) /
      (fleet.admitted - before.admitted),
  };
}
