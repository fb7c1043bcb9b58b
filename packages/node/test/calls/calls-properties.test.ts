import type { LinkMode } from "@zinniahill/stand-ins";
import { LOG_END } from "@zinniahill/stand-ins";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type CallNode, CallWorld, RECORDS, type Told } from "./fixture.ts";

const NODES = 3;
const KEYS = 2;
const RUNS = 150;
const MODES: readonly LinkMode[] = ["pass", "refuse", "silent", "reply-lost"];

interface Running {
  readonly world: CallWorld;
  readonly nodes: readonly CallNode[];
  readonly tries: { readonly key: string; readonly answer: { told?: Told } }[];
}

interface Step {
  readonly kind: StepKind;
  readonly node: number;
  readonly choice: number;
  readonly pauseMs: number;
}

/** What happens at one step of a run. */
const STEPS = {
  call: ({ world, nodes, tries }, { node, choice }) => {
    const key = `key-${choice % KEYS}`;
    tries.push({ key, answer: world.begin(nodes[node]!, key) });
  },
  "log-link": ({ world, nodes }, { node, choice }) => {
    const mode = MODES[choice]!;
    world.platform.network.setMode(nodes[node]!.name, LOG_END, mode);
  },
  "upstream-link": ({ world, nodes }, { node, choice }) => {
    const mode = MODES[choice]!;
    world.platform.network.setMode(nodes[node]!.name, RECORDS, mode);
  },
  "log-down": ({ world }, { choice }) => {
    world.platform.log.faults.isDown = choice % 2 === 0;
  },
  "log-delay": ({ world }, { choice }) => {
    world.platform.log.faults.delayMs = choice * 900;
  },
  "log-replies": ({ world }, { choice }) => {
    world.platform.log.faults.repliesToLose = choice;
  },
  "upstream-refuses": ({ world }, { choice }) => {
    world.records.refuses = choice % 2 === 0;
  },
  "upstream-delay": ({ world }, { choice }) => {
    world.records.delayMs = choice * 4000;
  },
  "node-pause": ({ nodes }, { node, choice }) => {
    nodes[node]!.clock.pausedMs += choice * 6000;
  },
} satisfies Record<string, (running: Running, step: Step) => void>;

type StepKind = keyof typeof STEPS;

const KINDS = Object.keys(STEPS) as StepKind[];
const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    { weight: 3, arbitrary: fc.constant<StepKind>("call") },
    { weight: 4, arbitrary: fc.constantFrom(...KINDS) },
  ),
  node: fc.nat(NODES - 1),
  choice: fc.nat(MODES.length - 1),
  pauseMs: fc.oneof(
    fc.constantFrom(0, 0.25, 0.5, 1),
    fc.integer({ min: 1, max: 4000 }),
  ),
});

async function run(steps: readonly Step[]): Promise<Running> {
  const world = new CallWorld();
  const nodes: CallNode[] = [];
  for (let index = 0; index < NODES; index++) {
    nodes.push(await world.startNode(`node-${index}`, index + 1));
  }
  const running: Running = { world, nodes, tries: [] };
  for (const item of steps) {
    STEPS[item.kind](running, item);
    await world.clock.advance(item.pauseMs);
  }
  await world.clock.advance(30_000);
  return running;
}

async function stopAll({ world, nodes }: Running): Promise<void> {
  const stopped = Promise.all(nodes.map((node) => node.stop()));
  await world.clock.advance(10_000);
  await stopped;
}

describe("calls under random faults", () => {
  describe.each([11, 12, 13, 14])("with seed %i", (seed) => {
    it("never run twice, and were not run when every try says so", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, { minLength: 4, maxLength: 30 }),
          async (steps) => {
            const running = await run(steps);
            const { world, tries } = running;
            for (let index = 0; index < KEYS; index++) {
              const key = `key-${index}`;
              const runs = world.records.countRuns(key);
              const told = tries.filter((item) => item.key === key)
                .map(({ answer }) => answer.told);
              expect(told.every((item) => item !== undefined)).toBe(true);
              expect(runs).toBeLessThanOrEqual(1);
              if (told.every((item) => item?.verdict === "not-run")) {
                expect(runs).toBe(0);
              }
              if (told.some((item) => item?.status !== undefined)) {
                expect(runs).toBe(1);
              }
            }
            await stopAll(running);
          },
        ),
        { seed, numRuns: RUNS },
      );
    });
  });
});
