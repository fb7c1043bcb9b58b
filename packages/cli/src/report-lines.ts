/**
 * Text form of a configuration report.
 *
 * @module
 */
import type {
  ConfigurationReport,
  Difference,
  Finding,
} from "@zinniahill/schema";

/** Lines of a report for the standard streams. */
export interface ReportLines {
  readonly output: readonly string[];
  readonly errors: readonly string[];
}

type DifferenceFormats = {
  readonly [Kind in Difference["kind"]]: (
    difference: Extract<Difference, { kind: Kind }>,
    report: ConfigurationReport,
  ) => string;
};

const DIFFERENCE_FORMATS: DifferenceFormats = {
  added: ({ rule, line }, { file }) => `${file}:${line}: added: ${rule}`,
  removed: ({ rule, baseLine }, { base }) =>
    `${base?.name}:${baseLine}: removed: ${rule}`,
  changed: ({ rule, line, changes }, { file }) => {
    const values = changes.map(({ key, from, to }) =>
      `${key} from ${from ?? "none"} to ${to ?? "none"}`
    );
    return `${file}:${line}: changed: ${rule}: ${values.join("; ")}`;
  },
};

/** Formats a report, one finding or difference a line. */
export function formatReport(report: ConfigurationReport): ReportLines {
  const { file, rules, findings, base, differences } = report;
  const lines = findings.map((finding) => formatFinding(file, finding));
  const baseErrors = (base?.errors ?? []).map((finding) =>
    formatFinding(base?.name ?? "", finding)
  );
  const hasErrors = findings.some(({ kind }) => kind === "error");
  return {
    output: [
      ...(hasErrors ? [] : lines),
      ...(differences ?? []).map((difference) =>
        formatDifference(difference, report)
      ),
      ...(hasErrors ? [] : [`${file}: ${rules} rules`]),
    ],
    errors: [...(hasErrors ? lines : []), ...baseErrors],
  };
}

function formatFinding(file: string, finding: Finding): string {
  const { line, kind, message, related } = finding;
  const others = related.length === 0 ? "" : ` (line ${related.join(", ")})`;
  return `${file}:${line}: ${kind}: ${message}${others}`;
}

function formatDifference(
  difference: Difference,
  report: ConfigurationReport,
): string {
  const format = DIFFERENCE_FORMATS[difference.kind] as (
    difference: Difference,
    report: ConfigurationReport,
  ) => string;
  return format(difference, report);
}
