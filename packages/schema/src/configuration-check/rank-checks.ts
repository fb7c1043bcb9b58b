/**
 * Checks of ranks; ranks that the file does not state have their defaults.
 *
 * @module
 */
import type { RankRule, Rules } from "../rules.ts";
import { type Rank, RANKS } from "../values.ts";
import { isBlocked } from "./account-checks.ts";
import type { Observation } from "./report.ts";
import { findRankLines, selectRules } from "./rule-selection.ts";

/** Sums of fractions such as 0.7 + 0.2 + 0.1 are inexact. */
const FLOOR_TOLERANCE = 1e-9;

function isUsed(rules: Rules, rank: Rank): boolean {
  return selectRules(rules, "account").some(({ rule }) =>
    !isBlocked(rule) && rule.ranks.includes(rank)
  );
}

/** Finds ranks that no account may use. */
export function findUnusedRanks(rules: Rules): Observation[] {
  return selectRules(rules, "rank")
    .filter(({ rule }) => !isUsed(rules, rule.name))
    .map(({ line, rule }) => ({
      line,
      message: `rank ${rule.name} has no effect, as no account can use it`,
      related: selectRules(rules, "account")
        .filter((account) => account.rule.ranks.includes(rule.name))
        .map((account) => account.line),
    }));
}

/** A request that has to wait is refused once its wait exceeds the target. */
export function findZeroWaits(rules: Rules): Observation[] {
  return selectRules(rules, "rank").filter(({ rule }) =>
    rule["first-token"] === 0 && rule.floor > 0
  ).map(({ line, rule }) => ({
    line,
    message: `rank ${rule.name} cannot keep its floor, as first-token=0 ` +
      "refuses each request that finds no free place",
    related: [],
  }));
}

/** The first token takes one engine step, as each later one does. */
export function findShortDeadlines(rules: Rules): Observation[] {
  return selectRules(rules, "rank").filter(({ rule }) =>
    rule["first-token"] > 0 && rule["first-token"] < rule["token-gap"]
  ).map(({ line, rule }) => ({
    line,
    message: `rank ${rule.name} has a deadline of ${rule["first-token"]} ms ` +
      `for the first token, and a target of ${rule["token-gap"]} ms for ` +
      "each later one",
    related: [],
  }));
}

/** Engines serve the more urgent rank first, admission that of more worth. */
export function findInvertedWorths(rules: Rules): Observation[] {
  return compareRanks(rules, (urgent, other) => {
    const isInverted = urgent.worth < other.worth;
    return isInverted
      ? `is worth ${urgent.worth}, less than ${other.worth} of the less ` +
        `urgent rank ${other.name}`
      : undefined;
  });
}

/** Finds ranks that may wait longer than a less urgent one. */
export function findInvertedTargets(rules: Rules): Observation[] {
  return compareRanks(rules, (urgent, other) => {
    const isInverted = urgent["first-token"] > other["first-token"];
    return isInverted
      ? `may wait ${urgent["first-token"]} ms, longer than the ` +
        `${other["first-token"]} ms of the less urgent rank ${other.name}`
      : undefined;
  });
}

function compareRanks(
  rules: Rules,
  describe: (urgent: RankRule, other: RankRule) => string | undefined,
): Observation[] {
  return RANKS.flatMap((urgent, index) =>
    RANKS.slice(index + 1).flatMap((other) => {
      const [line, ...related] = findRankLines(rules, [urgent, other]);
      const fault = describe(rules.ranks[urgent], rules.ranks[other]);
      return line === undefined || fault === undefined
        ? []
        : [{ line, message: `rank ${urgent} ${fault}`, related }];
    })
  );
}

/** A rank below its floor goes first, so nothing is left for one without. */
export function findStarvedRanks(rules: Rules): Observation[] {
  const sum = RANKS.reduce((total, rank) => total + rules.ranks[rank].floor, 0);
  if (sum < 1 - FLOOR_TOLERANCE) {
    return [];
  }
  return selectRules(rules, "rank")
    .filter(({ rule }) => rule.floor === 0 && isUsed(rules, rule.name))
    .map(({ line, rule }) => ({
      line,
      message: `rank ${rule.name} has no floor, and the floors of the others ` +
        "add up to 100%, so they can take all capacity",
      related: findRankLines(
        rules,
        RANKS.filter((rank) => rules.ranks[rank].floor > 0),
      ),
    }));
}
