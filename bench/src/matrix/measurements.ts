/**
 * Times of the system in simulated time: after a loss, and after an edit.
 *
 * @module
 */
import { type FaultName, FAULTS } from "./faults.ts";
import { MECHANISMS } from "./mechanisms.ts";
import { publish } from "./operators.ts";
import { findServingHost } from "./steps.ts";
import { World } from "./world.ts";

/** One measured time over several seeds. */
export interface Measurement {
  readonly name: string;
  readonly kind: string;
  readonly unit: "ms";
  readonly runs: number;
  /** Runs in which what was waited for did not come within the limit. */
  readonly missed: number;
  readonly lowest?: number;
  readonly median?: number;
  readonly highest?: number;
}

const SEEDS = [1, 2, 3, 4, 5];
const REPLICAS = 2;
const SAMPLE_MS = 25;
const FORMED_LIMIT_MS = 10_000;
const LIMIT_MS = 30_000;
const SETTLED_MS = 2000;
/** The interval of probes. */
const SPREAD_MS = 1000;
const SLOW_LOG_MS = 1500;
const OUTAGE_MS = 10_000;
const LOSSES: readonly FaultName[] = [
  "host-lost",
  "host-paused",
  "host-returns",
  "domain-offline",
  "host-list-late",
];

/** How the log is while an edit is published. */
const LOG_STATES: Readonly<Record<string, (world: World) => Promise<void>>> = {
  "well": () => Promise.resolve(),
  "slow": (world) => {
    world.platform.log.faults.delayMs = SLOW_LOG_MS;
    return Promise.resolve();
  },
  "back-from-outage": async (world) => {
    const { faults } = world.platform.log;
    faults.isDown = true;
    world.run(publish(world, ["north", "south"]));
    await world.runUntil(world.clock.now() + OUTAGE_MS);
    faults.isDown = false;
  },
};

/** Measures everything, one result at a time. */
export async function* measure(): AsyncGenerator<Measurement> {
  for (const loss of LOSSES) {
    const times = await runSeeds((seed) => measureLoss(seed, loss));
    for (
      const name of ["not-served-first", "not-served-all", "replaced"] as const
    ) {
      yield summarize(
        `loss-to-${name}`,
        loss,
        times.map((time) => time[name]),
      );
    }
  }
  const claims = await runSeeds(measureHolderLoss);
  yield summarize("loss-to-new-claim", "node-killed", claims);
  for (const state of Object.keys(LOG_STATES)) {
    const times = await runSeeds((seed) => measurePublish(seed, state));
    yield summarize("publish-to-in-force-on-all", state, times);
  }
}

async function measureLoss(seed: number, loss: FaultName) {
  const world = await createServing(seed);
  const host = findServingHost(world);
  const lost = findGroupsOf(world, loss, host);
  const startedAt = world.clock.now();
  FAULTS[loss](world, { node: "node-1", host });
  const servedBy = () =>
    listViews(world).filter((groups) => groups.some((group) => lost.has(group)))
      .length;
  const before = servedBy();
  const first = await waitUntil(world, () => servedBy() < before);
  const all = await waitUntil(world, () => servedBy() === 0);
  const replaced = await waitUntil(
    world,
    () => listViews(world).every((groups) => groups.length >= REPLICAS),
  );
  await world.stop();
  return {
    "not-served-first": subtract(first, startedAt),
    "not-served-all": subtract(all, startedAt),
    "replaced": subtract(replaced, startedAt),
  };
}

async function measureHolderLoss(seed: number): Promise<number | undefined> {
  const world = await createServing(seed);
  const leases = () =>
    world.platform.log.history.filter(({ records }) =>
      JSON.stringify(records).includes('"kind":"lease"')
    );
  const holder = JSON.stringify(leases().at(-1)?.records);
  const name = [...world.nodes.keys()].find((node) =>
    holder.includes(`"node":"${node}"`)
  )!;
  const startedAt = world.clock.now();
  world.node(name).kill();
  const claimed = await waitUntil(
    world,
    () =>
      leases().some(({ at, records }) =>
        at > startedAt && JSON.stringify(records).includes('"fence":0')
      ),
  );
  await world.stop();
  return subtract(claimed, startedAt);
}

async function measurePublish(
  seed: number,
  state: string,
): Promise<number | undefined> {
  const world = await createServing(seed);
  const versions = () =>
    [...world.nodes.values()].map(({ kernel }) =>
      kernel?.find("state").control.configuration.version ?? 0
    );
  const before = Math.max(...versions());
  await LOG_STATES[state]!(world);
  const startedAt = world.clock.now();
  if (state !== "back-from-outage") {
    world.run(publish(world, ["north", "south"]));
  }
  const inForce = await waitUntil(
    world,
    () => versions().every((version) => version > before),
  );
  await world.stop();
  return subtract(inForce, startedAt);
}

/** A world whose groups are all served by every node. */
async function createServing(seed: number): Promise<World> {
  const world = new World(seed, MECHANISMS.nothing);
  await world.start();
  world.run(publish(world, ["north"]));
  await waitUntil(
    world,
    () => listViews(world).every((groups) => groups.length >= REPLICAS),
    FORMED_LIMIT_MS,
  );
  // Each seed has another moment between two probes.
  const spreadMs = world.random.below(SPREAD_MS);
  await world.runUntil(world.clock.now() + SETTLED_MS + spreadMs);
  return world;
}

/** Groups that each running node serves now. */
function listViews(world: World): string[][] {
  return [...world.nodes.values()].flatMap(({ kernel }) =>
    kernel === undefined ? [] : [
      kernel.find("evidence").listServable("chat").map(({ group }) => group),
    ]
  );
}

function findGroupsOf(
  world: World,
  loss: FaultName,
  host: string,
): Set<string> {
  const { fabricDomain } = world.host(host);
  const hosts = [...world.platform.hosts.values()].filter((other) =>
    loss === "domain-offline"
      ? other.fabricDomain === fabricDomain
      : other.host === host
  );
  return new Set(
    hosts.map((other) => world.engine(other.host).status.group)
      .filter((group) => group !== ""),
  );
}

async function waitUntil(
  world: World,
  isMet: () => boolean,
  limitMs = LIMIT_MS,
): Promise<number | undefined> {
  const end = world.clock.now() + limitMs;
  while (!isMet()) {
    if (world.clock.now() >= end) {
      return undefined;
    }
    await world.runUntil(world.clock.now() + SAMPLE_MS);
  }
  return world.clock.now();
}

async function runSeeds<Value>(
  run: (seed: number) => Promise<Value>,
): Promise<Value[]> {
  const values: Value[] = [];
  for (const seed of SEEDS) {
    values.push(await run(seed));
  }
  return values;
}

function subtract(
  at: number | undefined,
  startedAt: number,
): number | undefined {
  return at === undefined ? undefined : at - startedAt;
}

function summarize(
  name: string,
  kind: string,
  times: readonly (number | undefined)[],
): Measurement {
  const known = times.filter((time) => time !== undefined)
    .toSorted((a, b) => a - b);
  return {
    name,
    kind,
    unit: "ms",
    runs: times.length,
    missed: times.length - known.length,
    ...(known.length === 0 ? {} : {
      lowest: known[0]!,
      median: known[Math.floor(known.length / 2)]!,
      highest: known.at(-1)!,
    }),
  };
}
