/**
 * The rows: every fault at every step, and chosen pairs of faults.
 *
 * @module
 */
import { type FaultName, FAULTS } from "./faults.ts";
import type { Injection, Row } from "./scenario.ts";
import { type StepName, STEPS } from "./steps.ts";

/** Pairs that meet in one procedure. */
const PAIRS: readonly (readonly [Injection, Injection])[] = [
  createPair("node-killed", "assign", "log-down", "claim"),
  createPair("node-paused", "load", "host-lost", "serve"),
  createPair("node-paused", "assign", "domain-offline", "serve"),
  createPair("node-killed", "intent", "log-reply-lost", "intent"),
  createPair("node-killed", "dispatch", "log-slow", "intent"),
  createPair("reply-lost", "dispatch", "log-down", "outcome"),
  createPair("host-lost", "stream", "log-down", "stream"),
  createPair("host-lost", "stream", "cut-from-peers", "drain"),
  createPair("host-list-late", "stream", "node-killed", "drain"),
  createPair("engine-silent", "stream", "host-paused", "drain"),
  createPair("log-slow", "publish", "operators-race", "publish"),
  createPair("log-down", "publish", "node-returns", "stop"),
  createPair("log-expired", "drain", "log-reply-lost", "publish"),
  createPair("domain-maintenance", "stream", "log-down", "drain"),
  createPair("flood", "stream", "host-lost", "drain"),
  createPair("answer-repeated", "stream", "host-returns", "drain"),
];

/** Every row, in the order in which they run. */
export const ROWS: readonly Row[] = [
  ...(Object.keys(FAULTS) as FaultName[]).flatMap((fault) =>
    (Object.keys(STEPS) as StepName[]).map((step) =>
      createRow([{ fault, step }])
    )
  ),
  ...PAIRS.map(createRow),
];

function createRow(injections: readonly Injection[]): Row {
  const id = injections.map(({ fault, step }) => `${fault}@${step}`).join("+");
  return { id, injections };
}

function createPair(
  fault: FaultName,
  step: StepName,
  secondFault: FaultName,
  secondStep: StepName,
): readonly [Injection, Injection] {
  return [{ fault, step }, { fault: secondFault, step: secondStep }];
}
