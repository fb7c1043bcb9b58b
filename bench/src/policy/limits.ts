/**
 * The error of account limits over all nodes.
 *
 * @module
 */
import { ManualClock, type Random, SeededRandom } from "@zinniahill/kernel";
import { AccountLimits, type AccountUsage } from "@zinniahill/policy";
import type { AccountRule } from "@zinniahill/schema";
import { writeFigure } from "../report.ts";
import { createRules } from "./rules.ts";

const SEED = 51;
const EXCHANGE_MS = 250;
const DELAY_MS = 5;
const DURATION_MS = 20_000;
const STREAM_MS = 100;
const LONG_STREAM_MS = 1000;
const TOKENS = 100;
const RULE =
  `account north key=sha256:${"0".repeat(64)} requests=50/s tokens=20000/s ` +
  "streams=16 # bench";

interface Case {
  /** Nodes that callers use. */
  readonly callers: readonly number[];
  readonly perSecond: number;
  /** How long one request runs. */
  readonly streamMs?: number;
  /** Whether no node knows of the others, as the baseline. */
  readonly isAlone?: boolean;
  /** Whether a report from one node reaches another at a time. */
  reaches(from: number, to: number, now: number): boolean;
  /** Whether a node runs at a time. */
  runs(node: number, now: number): boolean;
}

const HALF_MS = DURATION_MS / 2;
const ALWAYS = () => true;
const ALL = [0, 1, 2, 3];

const CASES: Readonly<Record<string, Case>> = {
  "all-nodes": { callers: ALL, perSecond: 400, reaches: ALWAYS, runs: ALWAYS },
  "one-node": { callers: [0], perSecond: 400, reaches: ALWAYS, runs: ALWAYS },
  "streams-all-nodes": {
    callers: ALL,
    perSecond: 100,
    streamMs: LONG_STREAM_MS,
    reaches: ALWAYS,
    runs: ALWAYS,
  },
  "streams-one-node": {
    callers: [0],
    perSecond: 100,
    streamMs: LONG_STREAM_MS,
    reaches: ALWAYS,
    runs: ALWAYS,
  },
  "under-the-limit": {
    callers: [0],
    perSecond: 20,
    streamMs: 300,
    reaches: ALWAYS,
    runs: ALWAYS,
  },
  "node-lost": {
    callers: ALL,
    perSecond: 400,
    reaches: ALWAYS,
    runs: (node, now) => node !== 3 || now < HALF_MS,
  },
  "cut-in-two": {
    callers: ALL,
    perSecond: 400,
    reaches: (from, to, now) =>
      now < HALF_MS || Math.floor(from / 2) === Math.floor(to / 2),
    runs: ALWAYS,
  },
};

/** Measures every case beside limits that each node applies alone. */
export async function measureLimits(): Promise<void> {
  for (const [name, one] of Object.entries(CASES)) {
    const shared = await run(one);
    const alone = await run({ ...one, reaches: () => false, isAlone: true });
    const figures = {
      "requests": { value: shared.requests, baseline: alone.requests },
      "requests-first-half": {
        value: shared.firstHalf,
        baseline: alone.firstHalf,
      },
      "streams-peak": { value: shared.streams, baseline: alone.streams },
      "accounts-remembered": {
        value: shared.remembered,
        baseline: alone.remembered,
      },
    };
    for (const [figure, { value, baseline }] of Object.entries(figures)) {
      const isStreams = figure === "streams-peak";
      const unit = isStreams ? "share of limit" : "share of rate * time";
      writeFigure({
        name: `limits/${name}/${figure}`,
        value,
        unit: figure === "accounts-remembered" ? "1" : unit,
        baseline,
        seed: SEED,
      });
    }
  }
}

async function run(one: Case) {
  const clock = new ManualClock();
  const rules = createRules({ accounts: [RULE] }).accounts;
  const rule = rules.get("north")!;
  const nodeCount = one.isAlone ? 1 : ALL.length;
  const nodes = ALL.map(() => new AccountLimits(clock, () => nodeCount));
  const count = { requests: 0, firstHalf: 0, streams: 0, peak: 0 };
  nodes.forEach((limits, from) => {
    exchange(clock, limits, rules, (report, sequence) => {
      ALL.filter((to) => to !== from).forEach((to) => {
        const isSent = one.runs(from, clock.now()) &&
          one.reaches(from, to, clock.now());
        if (isSent) {
          clock.schedule(
            DELAY_MS,
            () => nodes[to]!.applyReport(`n${from}`, sequence, report, rules),
          );
        }
      });
    });
  });
  const random = new SeededRandom(SEED);
  arrive(clock, one, random, (node) => {
    const isBegun = one.runs(node, clock.now()) &&
      begin(
        clock,
        nodes[node]!,
        rule,
        one.streamMs ?? STREAM_MS,
        () => count.streams--,
      );
    if (isBegun) {
      count.requests++;
      count.firstHalf += clock.now() < HALF_MS ? 1 : 0;
      count.streams++;
      count.peak = Math.max(count.peak, count.streams);
    }
  });
  await clock.advance(DURATION_MS);
  const allowed = rule.requests * DURATION_MS / 1000;
  // A quiet time, after which no account may be remembered.
  await clock.advance(DURATION_MS);
  return {
    requests: count.requests / allowed,
    firstHalf: count.firstHalf / (allowed / 2),
    streams: count.peak / rule.streams,
    remembered: Math.max(...nodes.map(({ accountCount }) => accountCount)),
  };
}

function exchange(
  clock: ManualClock,
  limits: AccountLimits,
  rules: ReadonlyMap<string, AccountRule>,
  send: (report: AccountUsage[], sequence: number) => void,
  sequence = 1,
): void {
  clock.schedule(EXCHANGE_MS, () => {
    send(limits.takeReport(rules), sequence);
    exchange(clock, limits, rules, send, sequence + 1);
  });
}

function arrive(
  clock: ManualClock,
  one: Case,
  random: Random,
  onArrival: (node: number) => void,
): void {
  const wait = -Math.log(1 - random.fraction()) * 1000 / one.perSecond;
  clock.schedule(wait, () => {
    if (clock.now() < DURATION_MS) {
      onArrival(one.callers[random.below(one.callers.length)]!);
      arrive(clock, one, random, onArrival);
    }
  });
}

function begin(
  clock: ManualClock,
  limits: AccountLimits,
  rule: AccountRule,
  streamMs: number,
  onEnd: () => void,
): boolean {
  const begun = limits.begin(rule, TOKENS);
  if (begun.isErr) {
    return false;
  }
  clock.schedule(streamMs, () => {
    limits.end(rule.name, TOKENS, TOKENS);
    onEnd();
  });
  return true;
}
