/**
 * The judgement of each guarantee, from what callers and upstreams recorded.
 *
 * @module
 */
import type { Evidence, Judged } from "./evidence.ts";
import {
  judgeAnswers,
  judgeKeys,
  judgePlannedStops,
  judgeVerdicts,
} from "./judge-answers.ts";
import { judgeConfigurations } from "./judge-configurations.ts";
import {
  judgeGroupsOfHosts,
  judgeLeavingHosts,
  judgeMissingHosts,
} from "./judge-hosts.ts";

type Judgement = (evidence: Evidence) => Judged;

/** What a row shows of a guarantee. */
export type Finding =
  | { readonly state: "kept" }
  | { readonly state: "not exercised" }
  | { readonly state: "broken"; readonly reason: string };

/** Judgements by guarantee. */
export const JUDGEMENTS = {
  P1: judgeMissingHosts,
  P2: judgeGroupsOfHosts,
  P3: judgeAnswers,
  P4: judgeVerdicts,
  P5: judgeKeys,
  P6: judgeLeavingHosts,
  P7: judgePlannedStops,
  P8: judgeConfigurations,
} as const satisfies Record<string, Judgement>;

/** The id of a guarantee. */
export type Guarantee = keyof typeof JUDGEMENTS;

/** Judges one guarantee. */
export function judge(guarantee: Guarantee, evidence: Evidence): Finding {
  const { isExercised, violation } = JUDGEMENTS[guarantee](evidence);
  if (violation !== undefined) {
    return { state: "broken", reason: violation };
  }
  return { state: isExercised ? "kept" : "not exercised" };
}
