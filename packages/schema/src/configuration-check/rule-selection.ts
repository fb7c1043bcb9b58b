/**
 * Typed access to the rules of one kind, with their lines.
 *
 * @module
 */
import type { RuleLine, Rules } from "../rules.ts";
import type { Rank } from "../values.ts";

/** A line that holds a rule of one kind. */
export type RuleLineOf<Kind extends RuleLine["kind"]> = Extract<
  RuleLine,
  { readonly kind: Kind }
>;

/** Returns the rules of one kind in the order of the file. */
export function selectRules<Kind extends RuleLine["kind"]>(
  rules: Rules,
  kind: Kind,
): RuleLineOf<Kind>[] {
  return rules.lines.filter((line): line is RuleLineOf<Kind> =>
    line.kind === kind
  );
}

/** Returns the lines that state the given ranks; defaults have none. */
export function findRankLines(rules: Rules, ranks: readonly Rank[]): number[] {
  return selectRules(rules, "rank")
    .filter(({ rule }) => ranks.includes(rule.name))
    .map(({ line }) => line);
}
