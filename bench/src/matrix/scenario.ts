/**
 * One row: the same life of a system, with faults at chosen steps.
 *
 * @module
 */
import { runCallers } from "./callers.ts";
import { type FaultName, FAULTS } from "./faults.ts";
import {
  type Finding,
  type Guarantee,
  judge,
  JUDGEMENTS,
} from "./judgements.ts";
import type { Mechanism } from "./mechanisms.ts";
import { drainHost, publish } from "./operators.ts";
import {
  findServingHost,
  type StepName,
  StepWatch,
  STOPPED_NODE,
} from "./steps.ts";
import { World } from "./world.ts";

/** A fault and the step at which it comes. */
export interface Injection {
  readonly fault: FaultName;
  readonly step: StepName;
}

/** One row of the matrix. */
export interface Row {
  readonly id: string;
  readonly injections: readonly Injection[];
}

/** What one row shows. */
export interface RowResult {
  readonly row: Row;
  /** Whether every step came, so that every fault was there. */
  readonly isReached: boolean;
  readonly findings: Readonly<Record<Guarantee, Finding>>;
}

/** Guarantees in their order. */
export const GUARANTEES = Object.keys(JUDGEMENTS) as readonly Guarantee[];

const PUBLISH_AT_MS = 500;
const CALLERS_AT_MS = 2500;
const SECOND_PUBLISH_AT_MS = 4500;
const DRAIN_AT_MS = 6000;
const STOP_AT_MS = 7000;
const RESTART_AT_MS = 13_500;
const CALLERS_UNTIL_MS = 20_000;
/** Longest fault, wait for a group and repeats after the last request. */
const END_MS = 36_000;
const SAMPLE_INTERVAL_MS = 100;

/** Runs a row and judges every guarantee. */
export async function runRow(
  row: Row,
  mechanism: Mechanism,
  seed: number,
): Promise<RowResult> {
  const world = new World(seed, mechanism);
  const watches = row.injections.map(({ fault, step }) =>
    new StepWatch(world, step, (subject) => FAULTS[fault](world, subject))
  );
  world.onEvent = (event) => {
    for (const watch of watches) {
      watch.note(event);
    }
  };
  await world.start();
  world.run(runOperators(world));
  world.run(
    world.clock.sleep(CALLERS_AT_MS).then(() =>
      runCallers(world, CALLERS_UNTIL_MS)
    ),
  );
  world.run(sampleVersions(world));
  await world.runUntil(END_MS);
  await world.stop();
  const evidence = {
    records: world.records,
    platform: world.platform,
    recordServices: world.recordServices,
    endedAt: END_MS,
  };
  const findings = Object.fromEntries(
    GUARANTEES.map((guarantee) => [guarantee, judge(guarantee, evidence)]),
  ) as Record<Guarantee, Finding>;
  return {
    row,
    isReached: watches.every(({ isReached }) => isReached),
    findings,
  };
}

async function runOperators(world: World): Promise<void> {
  const { clock } = world;
  await clock.sleep(PUBLISH_AT_MS);
  world.run(publish(world, ["north"]));
  await clock.sleep(SECOND_PUBLISH_AT_MS - clock.now());
  world.run(publish(world, ["north", "south"], 1));
  await clock.sleep(DRAIN_AT_MS - clock.now());
  world.run(drainHost(world, findServingHost(world)));
  await clock.sleep(STOP_AT_MS - clock.now());
  world.run(world.node(STOPPED_NODE).stopAsPlanned());
  await clock.sleep(RESTART_AT_MS - clock.now());
  await world.node(STOPPED_NODE).start();
}

/** Notes every change of the version that a node has in force. */
async function sampleVersions(world: World): Promise<void> {
  const last = new Map<string, number>();
  while (world.clock.now() < END_MS) {
    for (const { name, kernel, starts } of world.nodes.values()) {
      const state = kernel?.find("state");
      const version = state?.rules === undefined
        ? 0
        : state.control.configuration.version;
      const key = `${name}/${starts}`;
      if (kernel !== undefined && last.get(key) !== version) {
        last.set(key, version);
        world.records.versions.push({
          node: name,
          start: starts,
          at: world.clock.now(),
          version,
        });
      }
    }
    await world.clock.sleep(SAMPLE_INTERVAL_MS);
  }
}
