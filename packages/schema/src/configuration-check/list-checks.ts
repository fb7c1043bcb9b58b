/**
 * Checks of the lists in rules of any kind.
 *
 * @module
 */
import type { Rules } from "../rules.ts";
import type { Observation } from "./report.ts";

/** Finds items that one list holds more than once. */
export function findRepeatedItems(rules: Rules): Observation[] {
  return rules.lines.flatMap(({ line, kind, rule }) =>
    Object.entries(rule).flatMap(([key, value]) => {
      const items: unknown[] = Array.isArray(value) ? value : [];
      const repeated = items.filter((item, index) =>
        items.indexOf(item) < index
      );
      return [...new Set(repeated)].map((item) => ({
        line,
        message: `${kind} ${key}: ${item} is listed more than once`,
        related: [],
      }));
    })
  );
}
