/**
 * Time that admission and routing of one request take on this machine.
 *
 * @module
 */
import { ManualClock, SeededRandom, SystemClock } from "@zinniahill/kernel";
import { Admission, LoadBalancer } from "@zinniahill/policy";
import { writeFigure } from "../report.ts";
import { createRules } from "./rules.ts";

const SEED = 61;
const REQUESTS = 20_000;
const RUNNERS_PER_GROUP = 4;
const RUNNERS = [10, 100, 600];
const ACCOUNTS = [10, 1000, 10_000];
const WAITING = 20_000;

/** Measures routing by runners and admission by client accounts. */
export async function measureCost(): Promise<void> {
  for (const runners of RUNNERS) {
    writeFigure({
      name: `cost/routing/${runners}-runners`,
      value: measureRouting(runners),
      unit: "us",
      seed: SEED,
    });
  }
  for (const accounts of ACCOUNTS) {
    writeFigure({
      name: `cost/admission/${accounts}-accounts`,
      value: await measureAdmission(accounts),
      unit: "us",
      seed: SEED,
    });
  }
}

function measureRouting(runners: number): number {
  const routing = new LoadBalancer(new ManualClock(), new SeededRandom(SEED));
  const groups = Math.ceil(runners / RUNNERS_PER_GROUP);
  const candidates = Array.from({ length: groups }, (_, index) => ({
    group: `g${index}`,
    dataCentre: `dc-${index % 6}`,
    reportedLoad: index % 16,
    reportedAt: 0,
  }));
  const time = new SystemClock();
  const startedAt = time.now();
  for (let index = 0; index < REQUESTS; index++) {
    const chosen = routing.choose({
      dataCentre: "dc-0",
      excluded: new Set(),
      prefix: [`p${index % 100}`, `p${index % 100}/1`, `q${index}`],
    }, candidates)!;
    routing.begin(chosen.group);
    routing.end(chosen.group);
  }
  return (time.now() - startedAt) * 1000 / REQUESTS;
}

/** Every account has requests that wait; each release admits the next one. */
async function measureAdmission(accounts: number): Promise<number> {
  const rules = createRules();
  const admission = new Admission({
    clock: new ManualClock(),
    rules: () => rules,
    capacity: () => 1,
  });
  const time = new SystemClock();
  const startedAt = time.now();
  const done = Array.from({ length: WAITING }, async (_, index) => {
    const account = `account-${index % accounts}`;
    const permit = await admission.admit(
      { account, rank: "batch", tokens: 100 },
      new AbortController().signal,
    );
    permit.map(({ release }) => release(60 + index % 50));
  });
  await Promise.all(done);
  return (time.now() - startedAt) * 1000 / WAITING;
}
