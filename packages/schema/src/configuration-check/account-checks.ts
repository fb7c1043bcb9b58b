/**
 * Checks of client accounts.
 *
 * @module
 */
import type { AccountRule, Rules } from "../rules.ts";
import type { Observation } from "./report.ts";
import { selectRules } from "./rule-selection.ts";

const LIMITS = ["requests", "tokens", "streams"] as const;

/** Whether a limit of 0 keeps the account from sending chat requests. */
export function isBlocked(rule: AccountRule): boolean {
  return LIMITS.some((limit) => rule[limit] === 0);
}

/** A caller is known by its key, and the last account with the key wins. */
export function findSharedKeys(rules: Rules): Observation[] {
  const accounts = selectRules(rules, "account");
  return accounts.flatMap(({ line, rule }, index) => {
    const winner = accounts.findLast(({ rule: { key } }) => key === rule.key)!;
    return winner === accounts[index] ? [] : [{
      line,
      message: `account ${rule.name} has the key of account ` +
        `${winner.rule.name}, to which every request with it belongs`,
      related: [winner.line],
    }];
  });
}

/** Finds accounts that a limit of 0 shuts out. */
export function findBlockedAccounts(rules: Rules): Observation[] {
  return selectRules(rules, "account").filter(({ rule }) => isBlocked(rule))
    .map(({ line, rule }) => {
      const zeros = LIMITS.filter((limit) => rule[limit] === 0);
      return {
        line,
        message: `account ${rule.name} is refused chat requests, as ` +
          `${zeros.join(" and ")} are limited to 0`,
        related: [],
      };
    });
}

/** Finds accounts in a file with nothing to call. */
export function findIdleAccounts(rules: Rules): Observation[] {
  const hasTarget = rules.services.size > 0 ||
    [...rules.models.values()].some(({ replicas }) => replicas > 0);
  const related = selectRules(rules, "model").map(({ line }) => line);
  return hasTarget ? [] : selectRules(rules, "account").map((
    { line, rule },
  ) => ({
    line,
    message: `account ${rule.name} has nothing to call: the file has no ` +
      "service, and no model with replicas",
    related,
  }));
}

/** Finds weights that no other account competes with. */
export function findLoneWeights(rules: Rules): Observation[] {
  const accounts = selectRules(rules, "account");
  return accounts.filter(({ rule }) =>
    rule.weight !== 1 &&
    !accounts.some(({ rule: other }) =>
      other !== rule && !isBlocked(other) && other.key !== rule.key &&
      other.ranks.some((rank) => rule.ranks.includes(rank))
    )
  ).map(({ line, rule }) => ({
    line,
    message: `the weight of account ${rule.name} has no effect, as no other ` +
      "account uses one of its ranks",
    related: [],
  }));
}

/** A chat request takes one token at least. */
export function findUnreachableRates(rules: Rules): Observation[] {
  return selectRules(rules, "account").filter(({ rule }) =>
    !isBlocked(rule) && rule.tokens < rule.requests
  ).map(({ line, rule }) => ({
    line,
    message: `account ${rule.name} cannot reach requests=${rule.requests}/s ` +
      `with tokens=${rule.tokens}/s, as each request takes a token or more`,
    related: [],
  }));
}
