/**
 * What faults excuse, by their names.
 *
 * @module
 */
import type { Disturbance } from "./upstream-promises.ts";

/** A fault, and the time in which it harmed its target. */
export interface PlayedFault extends Disturbance {
  readonly name: string;
}

/** Faults that end or hold up streams of an upstream that is not sound. */
const STREAM_FAULTS: ReadonlySet<string> = new Set([
  "member-silent",
  "lead-silent",
  "engine-answers-lost",
  "streams-broken",
  "prompts-crash",
  "lead-cut-off",
  "answers-endless",
  "lead-ended",
  "lead-replaced",
]);

/** A start of a node on an idle machine, which `STABLE_MS` covers. */
const START_MS = 1000;

const STORE_PATH_FAULT = /^(store|copy|link)-/;

/** Faults after which a node may not know what the others know. */
export function isNodeFault(name: string): boolean {
  return name.startsWith("node");
}

/** Faults after which no node may know what one of them knew. */
export function isFaultOfAllNodes(name: string): boolean {
  return name.startsWith("nodes-killed");
}

/** Faults of the store for all nodes. */
export function isStoreFault(name: string): boolean {
  return name.startsWith("store");
}

/** Faults of the store, or of a node's way to it. */
export function isStorePathFault(name: string): boolean {
  return STORE_PATH_FAULT.test(name);
}

/** Faults that may leave a stream unfinished. */
export function isStreamFault(name: string): boolean {
  return STREAM_FAULTS.has(name);
}

/**
 * When a fault has ceased to harm its target: at its end or, if its processes
 * took longer to start, when they listened. Before that, nothing can answer.
 */
export function findEndOfHarm(endedAt: number, listenedAt: number): number {
  return Math.max(endedAt, listenedAt - START_MS);
}
