/**
 * Checks a configuration before it is published.
 *
 * @module
 */
import type { Result } from "true-myth";
import { parseRules, type RuleFault, type Rules } from "../rules.ts";
import { CHECKS } from "./checks.ts";
import { findDifferences } from "./differences.ts";
import { CheckName, type ConfigurationReport, type Finding } from "./report.ts";

/** A rules file and the name by which messages refer to it. */
export interface ConfigurationSource {
  readonly name: string;
  readonly text: string;
}

/**
 * Checks a configuration and compares it with a base. The checks run only on a
 * text without errors: a line that cannot be read may be what others refer to.
 */
export function checkConfiguration(
  source: ConfigurationSource,
  base?: ConfigurationSource,
): ConfigurationReport {
  const parsed = parseRules(source.text);
  const parsedBase = base && parseRules(base.text);
  return {
    file: source.name,
    rules: parsed.isOk ? parsed.value.lines.length : 0,
    findings: parsed.isOk ? runChecks(parsed.value) : listErrors(parsed),
    base: base && parsedBase
      ? { name: base.name, errors: listErrors(parsedBase) }
      : null,
    differences: parsed.isOk && parsedBase?.isOk
      ? findDifferences(parsedBase.value, parsed.value)
      : null,
  };
}

function listErrors(parsed: Result<Rules, RuleFault[]>): Finding[] {
  return (parsed.isErr ? parsed.error : []).map(({ line, message }) => ({
    kind: "error",
    check: "syntax",
    line,
    message,
    related: [],
  }));
}

function runChecks(rules: Rules): Finding[] {
  return CheckName.options
    .flatMap((check) => {
      const { kind, find } = CHECKS[check];
      return find(rules).map((observation) => ({
        kind,
        check,
        ...observation,
      }));
    })
    .sort((a, b) => a.line - b.line);
}
