/**
 * One seed of the fault soak: the real programs as processes over the fleet's
 * stand-ins, faults from outside, promises checked meanwhile.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import {
  type Clock,
  describeError,
  SeededRandom,
  SystemClock,
} from "@zinniahill/kernel";
import { Fleet } from "@zinniahill/stand-ins";
import { Callers } from "./callers.ts";
import { judgeKeys, KeyProbe } from "./configuration.ts";
import { type Evacuation, judgeEvacuation } from "./evacuations.ts";
import {
  findEndOfHarm,
  isNodeFault,
  isStoreFault,
  isStreamFault,
  type PlayedFault,
} from "./fault-kinds.ts";
import type { FaultTable, FaultTarget } from "./faults.ts";
import { NodeProcess } from "./node-process.ts";
import {
  countRuns,
  judgeAnswer,
  judgeEnd,
  judgeGroups,
  judgeStops,
  type Violation,
} from "./promises.ts";
import { type Standstill, watchStandstills } from "./standstills.ts";
import { writeRecord } from "./soak-record.ts";
import {
  judgeCrashes,
  judgeLimit,
  type NamedLimit,
  STABLE_MS,
} from "./upstream-promises.ts";

/** What one seed is played with. */
export interface SoakPlan {
  readonly seed: number;
  readonly nodes: number;
  /** What the seed draws among. */
  readonly faults: FaultTable;
  /** How long faults begin. */
  readonly faultsMs: number;
  /** Folder of settings and logs. */
  readonly folder: string;
  /** Data centres of the upstreams; one if absent. */
  readonly dataCentres?: readonly string[];
  /** The fault that is begun first; drawn if absent. */
  readonly firstFault?: string;
  /** A fault after the recovery, with one more change behind it; none if absent. */
  readonly lastFault?: string;
}

/** What came of one seed. */
export interface SoakResult {
  readonly seed: number;
  /** The faults that were begun, in order. */
  readonly begun: readonly string[];
  readonly calls: number;
  readonly whole: number;
  readonly violations: readonly Violation[];
  /** When the soak's own process did not run. */
  readonly standstills: readonly Standstill[];
}

const OK = 200;
const OPEN_GROUPS = 2;
const CALLS_PER_SECOND = 40;
const GROUP_CHECK_MS = 25;
const POLL_MS = 50;
const START_LIMIT_MS = 20_000;
/** The platform's bound for recovery on the small deployments. */
const RECOVERY_LIMIT_MS = 12_000;
const MIN_PAUSE_MS = 200;
const PAUSE_SPREAD_MS = 1200;
const MIN_FAULT_MS = 300;
const FAULT_SPREAD_MS = 2500;
/** Long enough for streams that have begun when a fault comes. */
const EVENT_MS = 30;
/** After this time all nodes are in touch and have got the last change. */
const SETTLE_MS = STABLE_MS + 1500;
const SCOPE_PERIOD = 6;
/**
 * Which faults a seed draws, by its remainder; all if absent. Some leave the
 * nodes alone, or the streams of upstreams as well, so that more bounds apply.
 */
const SCOPES: Readonly<Record<number, (name: string) => boolean>> = {
  0: (name) => !isNodeFault(name),
  3: (name) => !isNodeFault(name) && !isStreamFault(name),
};

/** Plays one seed. */
export async function playSeed(plan: SoakPlan): Promise<SoakResult> {
  mkdirSync(plan.folder, { recursive: true });
  const clock = new SystemClock();
  const random = new SeededRandom(plan.seed);
  const fleet = new Fleet({
    domains: 2,
    runnersPerDomain: 4,
    modelHosts: 3,
    loadMs: 300,
    marksAllRoutes: true,
    ...(plan.dataCentres === undefined
      ? {}
      : { dataCentres: plan.dataCentres }),
  });
  await fleet.start();
  fleet.runners.forEach((runner) => runner.eventMs = EVENT_MS);
  const nodes = Array.from(
    { length: plan.nodes },
    (_, index) =>
      new NodeProcess({ index, store: fleet.address, folder: plan.folder }),
  );
  const callers = new Callers(clock, new SeededRandom(plan.seed + 1), nodes);
  const keys = new KeyProbe(fleet, new SeededRandom(plan.seed + 2));
  try {
    await Promise.all(nodes.map((node) => node.start()));
    await waitFor(
      clock,
      START_LIMIT_MS,
      "a first answer",
      async () =>
        fleet.listLeads().length === OPEN_GROUPS && await callers.call("chat"),
    );
    const limits: NamedLimit[] = [];
    const evacuations: Evacuation[] = [];
    return await playFaults(plan, {
      clock,
      random,
      fleet,
      nodes,
      callers,
      limits,
      evacuations,
      keys,
      silentUntil: new Map(),
    });
  } finally {
    nodes.forEach((node) => node.end());
    await Promise.all([callers.stop(), keys.stop()]);
    fleet.stop();
  }
}

async function playFaults(
  plan: SoakPlan,
  target: FaultTarget,
): Promise<SoakResult> {
  const { clock, fleet, nodes, callers, limits, evacuations, keys } = target;
  const done = new AbortController();
  const watched = watchGroups(clock, fleet, done.signal);
  const standing = watchStandstills(clock, done.signal);
  keys.rotate();
  const load = [
    callers.run(CALLS_PER_SECOND, done.signal),
    keys.run(clock, nodes, done.signal),
  ];
  const played: PlayedFault[] = [];
  const { begun, harms } = await runFaults(plan, target, played);
  const recovery = await judgeRecovery(clock, fleet, callers);
  if (plan.lastFault !== undefined) {
    const last = beginFault(plan, target, plan.lastFault, played);
    begun.push(last.label);
    harms.push(last.harm);
    await last.done;
  }
  keys.rotate();
  await clock.sleep(SETTLE_MS);
  done.abort();
  await Promise.all([...load, ...harms]);
  const disturbances = played.filter(({ name }) => isNodeFault(name));
  const runs = countRuns(fleet);
  const { answers } = callers;
  const standstills = await standing;
  writeRecord(plan.folder, {
    played,
    answers,
    keyChanges: keys.changes,
    keyRequests: keys.requests,
    standstills,
  });
  return {
    seed: plan.seed,
    begun,
    calls: answers.length,
    whole: answers.filter(({ status, isWhole }) => status === OK && isWhole)
      .length,
    standstills,
    violations: [
      ...await watched,
      ...recovery,
      ...nodes.flatMap(judgeStops),
      ...limits.flatMap((limit) => judgeLimit(limit, disturbances)),
      ...evacuations.flatMap((evacuation) =>
        judgeEvacuation(
          evacuation,
          disturbances,
          played.filter(({ name }) => isStoreFault(name)),
        )
      ),
      ...judgeCrashes(
        fleet.runners.flatMap(({ crashes }) => crashes),
        disturbances,
      ),
      ...judgeKeys(keys.changes, keys.answers, played),
      ...answers.flatMap((answer) => {
        const count = runs.get(answer.attempt) ?? 0;
        return [
          ...judgeAnswer(answer, count),
          ...judgeEnd(answer, count, played),
        ];
      }),
    ],
  };
}

/** Judges the groups until the signal aborts; each finding counts once. */
async function watchGroups(
  clock: Clock,
  fleet: Fleet,
  signal: AbortSignal,
): Promise<Violation[]> {
  const found = new Map<string, Violation>();
  while (!signal.aborted) {
    judgeGroups(fleet).forEach((violation) =>
      found.set(violation.detail, violation)
    );
    await clock.sleep(GROUP_CHECK_MS);
  }
  return [...found.values()];
}

/** Whether every kind is answered again in time. */
async function judgeRecovery(
  clock: Clock,
  fleet: Fleet,
  callers: Callers,
): Promise<Violation[]> {
  try {
    await waitFor(
      clock,
      RECOVERY_LIMIT_MS,
      "every kind answered",
      async () =>
        fleet.listLeads().length === OPEN_GROUPS &&
        await callers.call("chat") && await callers.call("stamp") &&
        await callers.call("look"),
    );
    return [];
  } catch (failure) {
    return [{ promise: "recovery", detail: describeError(failure) }];
  }
}

/** Begins faults one after the other; they may overlap. */
async function runFaults(
  plan: SoakPlan,
  target: FaultTarget,
  played: PlayedFault[],
): Promise<{ begun: string[]; harms: Promise<void>[] }> {
  const { seed, faultsMs, faults, firstFault } = plan;
  const { clock, random } = target;
  const names = Object.keys(faults)
    .filter(SCOPES[seed % SCOPE_PERIOD] ?? (() => true));
  const until = clock.now() + faultsMs;
  const begun: string[] = [];
  const running: Promise<void>[] = [];
  const harms: Promise<void>[] = [];
  while (clock.now() < until) {
    const drawn = names[random.below(names.length)]!;
    const name = begun.length === 0 ? firstFault ?? drawn : drawn;
    const { label, done, harm } = beginFault(plan, target, name, played);
    begun.push(label);
    running.push(done);
    harms.push(harm);
    await clock.sleep(MIN_PAUSE_MS + random.below(PAUSE_SPREAD_MS));
  }
  await Promise.all(running);
  return { begun, harms };
}

/** A fault that has begun. */
interface BegunFault {
  readonly label: string;
  /** Resolves when the fault is over. */
  readonly done: Promise<void>;
  /** Resolves when its harm is over and recorded. */
  readonly harm: Promise<void>;
}

/** Begins a fault for a drawn time, and records when it harmed its target. */
function beginFault(
  { faults }: SoakPlan,
  target: FaultTarget,
  name: string,
  played: PlayedFault[],
): BegunFault {
  const durationMs = MIN_FAULT_MS + target.random.below(FAULT_SPREAD_MS);
  const from = performance.now();
  const done = faults[name]!(target, durationMs);
  const harm = done.then(async () => {
    const endedAt = performance.now();
    if (isNodeFault(name)) {
      await Promise.all(target.nodes.map(({ listening }) => listening));
    }
    const until = findEndOfHarm(endedAt, performance.now());
    played.push({ name, from, until });
  });
  return { label: `${name} ${durationMs}`, done, harm };
}

async function waitFor(
  clock: Clock,
  limitMs: number,
  what: string,
  isMet: () => Promise<boolean>,
): Promise<void> {
  const until = clock.now() + limitMs;
  while (!await isMet()) {
    if (clock.now() > until) {
      throw new Error(`waited ${limitMs} ms for ${what}`);
    }
    await clock.sleep(POLL_MS);
  }
}
