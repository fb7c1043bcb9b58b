/**
 * This node's part of the rate of an upstream that is cold or warms up.
 *
 * @module
 */
import { hashName } from "@zinniahill/clients";
import { divideRate, type RateBound } from "@zinniahill/policy";
import type { RateShare } from "./shared-rate.ts";

/** An upstream that is cold or warms up, and the nodes that send to it. */
export interface ColdShareInput {
  /** Key of the process. */
  readonly process: string;
  readonly phase: "cold" | "warming";
  /** Factor by which the rate has grown since the cold time. */
  readonly growth: number;
  /** Requests that the process takes a second while it is cold. */
  readonly coldPerSecond: number;
  /** The limit that the process states, if it states one. */
  readonly statedPerSecond: number | undefined;
  /** Bound on all requests of any second, from the settings. */
  readonly bound: ColdBound;
  /** All nodes that serve callers; empty while they are not known. */
  readonly names: readonly string[];
  readonly ownName: string;
}

/** At most `overage` times the cold rate and `slack` requests in any second. */
export interface ColdBound {
  readonly overage: number;
  readonly slack: number;
}

/** A share, and the node's place from 0 to 1 among those with a share. */
export interface ColdShare {
  readonly share: RateShare;
  readonly position: number;
}

const NO_SHARE: ColdShare = {
  share: { perSecond: 0, nodes: 1, isSpaced: true },
  position: 0,
};
/** One second, and the time by which some requests arrive later than others. */
const COLD_WINDOW_MS = 1100;
/** What an upstream may get that states a limit L: 6 L + 5 requests in 4 s. */
const STATED_WINDOW_MS = 4000;
const STATED_OVERAGE = 1.5;
const STATED_SLACK = 5;
const MS_PER_SECOND = 1000;

/**
 * Plans a node's share. Of many nodes, a cold upstream gets requests only from
 * those that come first in an order that all nodes know and that differs from
 * upstream to upstream. While it warms up, all nodes send.
 */
export function planColdShare(input: ColdShareInput): ColdShare {
  const { process, phase, growth, names, ownName, bound } = input;
  const { coldPerSecond, statedPerSecond } = input;
  if (!names.includes(ownName)) {
    return NO_SHARE;
  }
  const place = findPlace(process, names, ownName);
  const coldBound = {
    windowMs: COLD_WINDOW_MS,
    maxRequests: coldPerSecond * bound.overage + bound.slack,
  };
  if (phase === "warming") {
    // A stated limit keeps its own permits meanwhile.
    const { perSecond, nodes } = divideRate(coldPerSecond, names.length, [
      coldBound,
    ]);
    return {
      share: { perSecond: perSecond * growth, nodes, isSpaced: true },
      position: place / names.length,
    };
  }
  const division = statedPerSecond === undefined
    ? divideRate(coldPerSecond, names.length, [coldBound])
    : divideRate(Math.min(coldPerSecond, statedPerSecond), names.length, [
      coldBound,
      createStatedBound(statedPerSecond),
    ]);
  const isChosen = place < division.nodes;
  return {
    share: {
      perSecond: isChosen ? division.perSecond : 0,
      nodes: division.nodes,
      isSpaced: true,
    },
    position: isChosen ? place / division.nodes : 1,
  };
}

function createStatedBound(perSecond: number): RateBound {
  return {
    windowMs: STATED_WINDOW_MS,
    maxRequests: STATED_OVERAGE * perSecond * STATED_WINDOW_MS /
        MS_PER_SECOND + STATED_SLACK,
  };
}

/** The node's place in the order of an upstream. */
function findPlace(
  process: string,
  names: readonly string[],
  ownName: string,
): number {
  const rank = (name: string) => hashName(`${process} ${name}`);
  const ownRank = rank(ownName);
  return names.filter((name) => {
    const other = rank(name);
    return other < ownRank || other === ownRank && name < ownName;
  }).length;
}
