import type { LinkMode, LogCopy } from "@zinniahill/stand-ins";
import { LOG_END } from "@zinniahill/stand-ins";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  CallCluster,
  type CallNode,
  type CallResult,
  RECORDS_ADDRESS,
} from "./fixture.ts";

const NODE_COUNT = 3;
const KEY_COUNT = 2;
const RUNS_PER_SEED = 150;
const LINK_MODES: readonly LinkMode[] = [
  "pass",
  "refuse",
  "silent",
  "reply-lost",
];

interface Run {
  readonly cluster: CallCluster;
  readonly nodes: readonly CallNode[];
  /** Copies of the log from before each step since the last restore. */
  readonly copies: LogCopy[];
  readonly calls: {
    readonly key: string;
    readonly pendingCall: { result?: CallResult };
  }[];
}

interface Step {
  readonly kind: StepKind;
  readonly node: number;
  readonly parameter: number;
  readonly pauseMs: number;
}

/** Most steps that a restore of the log takes back. */
const MAX_LOST_STEPS = 4;

/** Handlers of the kinds of step. */
const STEP_HANDLERS = {
  call: ({ cluster, nodes, calls }, { node, parameter }) => {
    const key = `key-${parameter % KEY_COUNT}`;
    calls.push({ key, pendingCall: cluster.startCall(nodes[node]!, key) });
  },
  "log-link": ({ cluster, nodes }, { node, parameter }) => {
    const mode = LINK_MODES[parameter]!;
    cluster.platform.network.setMode(nodes[node]!.name, LOG_END, mode);
  },
  "upstream-link": ({ cluster, nodes }, { node, parameter }) => {
    const mode = LINK_MODES[parameter]!;
    cluster.platform.network.setMode(nodes[node]!.name, RECORDS_ADDRESS, mode);
  },
  "log-down": ({ cluster }, { parameter }) => {
    cluster.platform.log.faults.isDown = parameter % 2 === 0;
  },
  "log-delay": ({ cluster }, { parameter }) => {
    cluster.platform.log.faults.delayMs = parameter * 900;
  },
  "log-replies": ({ cluster }, { parameter }) => {
    cluster.platform.log.faults.repliesToLose = parameter;
  },
  "upstream-refuses": ({ cluster }, { parameter }) => {
    cluster.recordService.refuses = parameter % 2 === 0;
  },
  "upstream-delay": ({ cluster }, { parameter }) => {
    cluster.recordService.delayMs = parameter * 4000;
  },
  "node-pause": ({ nodes }, { node, parameter }) => {
    nodes[node]!.clock.pausedMs += parameter * 6000;
  },
  "log-restore": ({ cluster, copies }, { parameter }) => {
    const lostSteps = 1 + parameter % MAX_LOST_STEPS;
    const copy = copies.at(-lostSteps) ?? copies[0]!;
    copies.splice(0, copies.length, copy);
    cluster.platform.log.restore(copy);
  },
} satisfies Record<string, (run: Run, step: Step) => void>;

type StepKind = keyof typeof STEP_HANDLERS;

const STEP_KINDS = Object.keys(STEP_HANDLERS) as StepKind[];
const FAULTS_WITHOUT_LOSS = STEP_KINDS.filter((kind) => kind !== "log-restore");

function createStepArbitrary(
  kinds: readonly StepKind[],
): fc.Arbitrary<Step> {
  return fc.record({
    kind: fc.oneof(
      { weight: 3, arbitrary: fc.constant<StepKind>("call") },
      { weight: 4, arbitrary: fc.constantFrom(...kinds) },
    ),
    node: fc.nat(NODE_COUNT - 1),
    parameter: fc.nat(LINK_MODES.length - 1),
    pauseMs: fc.oneof(
      fc.constantFrom(0, 0.25, 0.5, 1),
      fc.integer({ min: 1, max: 4000 }),
    ),
  });
}

async function runSteps(steps: readonly Step[]): Promise<Run> {
  const cluster = new CallCluster();
  const nodes: CallNode[] = [];
  for (let index = 0; index < NODE_COUNT; index++) {
    nodes.push(await cluster.startNode(`node-${index}`, index + 1));
  }
  const run: Run = { cluster, nodes, copies: [], calls: [] };
  for (const step of steps) {
    run.copies.push(cluster.platform.log.copy());
    STEP_HANDLERS[step.kind](run, step);
    await cluster.clock.advance(step.pauseMs);
  }
  await cluster.clock.advance(30_000);
  return run;
}

async function stopAll({ cluster, nodes }: Run): Promise<void> {
  const stopped = Promise.all(nodes.map((node) => node.stop()));
  await cluster.clock.advance(10_000);
  await stopped;
}

async function checkRuns(seed: number, kinds: StepKind[]): Promise<void> {
  const steps = fc.array(createStepArbitrary(kinds), {
    minLength: 4,
    maxLength: 30,
  });
  await fc.assert(
    fc.asyncProperty(steps, async (drawn) => {
      const run = await runSteps(drawn);
      for (let index = 0; index < KEY_COUNT; index++) {
        checkKey(run, `key-${index}`);
      }
      await stopAll(run);
    }),
    { seed, numRuns: RUNS_PER_SEED },
  );
}

function checkKey({ cluster, calls }: Run, key: string): void {
  const runs = cluster.recordService.countRuns(key);
  const results = calls.filter((call) => call.key === key)
    .map(({ pendingCall }) => pendingCall.result);
  expect(results.every((result) => result !== undefined)).toBe(true);
  expect(runs).toBeLessThanOrEqual(1);
  if (results.every((result) => result?.verdict === "not-run")) {
    expect(runs).toBe(0);
  }
  if (results.some((result) => result?.status !== undefined)) {
    expect(runs).toBe(1);
  }
}

describe("calls under random faults", () => {
  describe.each([11, 12, 13, 14])("with seed %i", (seed) => {
    it("run at most once, and never when every caller was told not-run", async () => {
      await checkRuns(seed, FAULTS_WITHOUT_LOSS);
    });

    // Guards against a second run of a call whose records a restore has lost,
    // in whatever order the records come that name it.
    it("run at most once over restores of the log", async () => {
      await checkRuns(seed, [...STEP_KINDS, "log-restore"]);
    });
  });
});
