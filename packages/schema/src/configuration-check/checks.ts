/**
 * Table of the checks of a configuration that has no errors.
 *
 * @module
 */
import type { Rules } from "../rules.ts";
import {
  findBlockedAccounts,
  findIdleAccounts,
  findLoneWeights,
  findSharedKeys,
  findUnreachableRates,
} from "./account-checks.ts";
import {
  findDefaultFencing,
  findHiddenFencing,
  findRepeatedFencing,
} from "./host-checks.ts";
import { findRepeatedItems } from "./list-checks.ts";
import {
  findInvertedTargets,
  findInvertedWorths,
  findShortDeadlines,
  findStarvedRanks,
  findUnusedRanks,
  findZeroWaits,
} from "./rank-checks.ts";
import type { CheckName, FindingKind, Observation } from "./report.ts";
import {
  findUncalledServices,
  findUnknownMethods,
  findUnlikeRetries,
  findUnloadedAdapters,
  findUnreachableUpstreams,
  findUnservedModels,
} from "./target-checks.ts";

/** A check and the kind of its findings. */
export interface Check {
  readonly kind: Exclude<FindingKind, "error">;
  readonly find: (rules: Rules) => Observation[];
}

/** Checks by name. */
export const CHECKS: Readonly<Record<CheckName, Check>> = {
  "shared-key": { kind: "hidden", find: findSharedKeys },
  "hidden-fencing": { kind: "hidden", find: findHiddenFencing },
  "blocked-account": { kind: "unused", find: findBlockedAccounts },
  "idle-account": { kind: "unused", find: findIdleAccounts },
  "lone-weight": { kind: "unused", find: findLoneWeights },
  "unused-rank": { kind: "unused", find: findUnusedRanks },
  "unserved-model": { kind: "unused", find: findUnservedModels },
  "unloaded-adapters": { kind: "unused", find: findUnloadedAdapters },
  "uncalled-service": { kind: "unused", find: findUncalledServices },
  "unknown-method": { kind: "unused", find: findUnknownMethods },
  "unreachable-upstream": { kind: "unused", find: findUnreachableUpstreams },
  "default-fencing": { kind: "unused", find: findDefaultFencing },
  "repeated-item": { kind: "duplicate", find: findRepeatedItems },
  "repeated-fencing": { kind: "duplicate", find: findRepeatedFencing },
  "unreachable-rate": { kind: "contradiction", find: findUnreachableRates },
  "zero-wait": { kind: "contradiction", find: findZeroWaits },
  "short-deadline": { kind: "contradiction", find: findShortDeadlines },
  "inverted-worth": { kind: "contradiction", find: findInvertedWorths },
  "inverted-target": { kind: "contradiction", find: findInvertedTargets },
  "starved-rank": { kind: "contradiction", find: findStarvedRanks },
  "unlike-retries": { kind: "contradiction", find: findUnlikeRetries },
};
