/**
 * Differences between two configurations, rule by rule.
 *
 * @module
 */
import type { RuleLine, Rules } from "../rules.ts";
import type { Change, Difference } from "./report.ts";

/** Texts of values that are parsed into another unit, by key. */
const VALUE_FORMATS: Readonly<Record<string, (value: unknown) => string>> = {
  "first-token": (value) => `${value}ms`,
  "token-gap": (value) => `${value}ms`,
  floor: formatPercentage,
  retries: formatPercentage,
  requests: (value) => `${value}/s`,
  tokens: (value) => `${value}/s`,
  key: (value) => `sha256:${value}`,
  at: (value) => new Date(Number(value)).toISOString(),
};

/** Digits beyond these come from the conversion of percentages. */
const PERCENTAGE_DIGITS = 12;

/**
 * Compares rules by kind and name. Line numbers, blanks and the order of rules
 * make no difference; a value that equals its default does not either.
 */
export function findDifferences(base: Rules, rules: Rules): Difference[] {
  const baseLines = indexLines(base);
  const lines = indexLines(rules);
  const present = [...lines].flatMap(([rule, line]): Difference[] => {
    const baseLine = baseLines.get(rule);
    if (baseLine === undefined) {
      return [{ kind: "added", rule, line: line.line }];
    }
    const changes = findChanges(baseLine, line);
    return changes.length === 0 ? [] : [{
      kind: "changed",
      rule,
      line: line.line,
      baseLine: baseLine.line,
      changes,
    }];
  });
  const removed = [...baseLines].filter(([rule]) => !lines.has(rule))
    .map(([rule, { line }]): Difference => ({
      kind: "removed",
      rule,
      baseLine: line,
    }));
  return [...present, ...removed];
}

function indexLines({ lines }: Rules): Map<string, RuleLine> {
  return new Map(lines.map((line) => [`${line.kind} ${line.rule.name}`, line]));
}

function findChanges(base: RuleLine, line: RuleLine): Change[] {
  const before = formatValues(base);
  const after = formatValues(line);
  return [...new Set([...before.keys(), ...after.keys()])].map((key) => ({
    key,
    from: before.get(key) ?? null,
    to: after.get(key) ?? null,
  })).filter(({ from, to }) => from !== to);
}

function formatValues({ rule, comment }: RuleLine): Map<string, string> {
  const values = Object.entries(rule).map(([key, value]): [string, string] => [
    key,
    (VALUE_FORMATS[key] ?? String)(value),
  ]);
  return new Map([...values, ["comment", comment]]);
}

function formatPercentage(value: unknown): string {
  return `${Number((Number(value) * 100).toPrecision(PERCENTAGE_DIGITS))}%`;
}
