/**
 * Checks of the rules on hosts.
 *
 * @module
 */
import type { Rules } from "../rules.ts";
import type { Observation } from "./report.ts";
import { selectRules } from "./rule-selection.ts";

/** Finds hosts with both modes; `ignored` wins in either order. */
export function findHiddenFencing(rules: Rules): Observation[] {
  const lines = selectRules(rules, "fencing");
  const ignored = lines.filter(({ rule }) => rule.mode === "ignored");
  return lines.filter(({ rule }) => rule.mode === "checked").flatMap((
    { line, rule },
  ) =>
    rule.name.flatMap((host) => {
      const related = ignored.filter((other) => other.rule.name.includes(host))
        .map((other) => other.line);
      return related.length === 0 ? [] : [{
        line,
        message: `fencing of host ${host}: mode=checked has no effect, as ` +
          "another rule says mode=ignored",
        related,
      }];
    })
  );
}

/** Finds rules that repeat the default mode. */
export function findDefaultFencing(rules: Rules): Observation[] {
  return selectRules(rules, "fencing").filter(({ rule }) =>
    rule.mode === "checked" &&
    !rule.name.some((host) => rules.unfencedHosts.has(host))
  ).map(({ line, rule }) => ({
    line,
    message: `fencing of ${rule.name.join(",")}: mode=checked has no effect, ` +
      "as it is the default of every host",
    related: [],
  }));
}

/** Finds hosts whose mode is stated twice. */
export function findRepeatedFencing(rules: Rules): Observation[] {
  const lines = selectRules(rules, "fencing");
  return lines.flatMap(({ line, rule }, index) =>
    [...new Set(rule.name)].flatMap((host) => {
      const first = lines.slice(0, index).find((other) =>
        other.rule.mode === rule.mode && other.rule.name.includes(host)
      );
      return first === undefined ? [] : [{
        line,
        message: `fencing of host ${host}: mode=${rule.mode} is already ` +
          "stated by another rule",
        related: [first.line],
      }];
    })
  );
}
