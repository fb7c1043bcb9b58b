/**
 * Report of a configuration check, as `zinniahill check --json` prints it.
 *
 * @module
 */
import * as z from "zod";

const LineNumber = z.number().int().positive();

/** What is wrong with a rule. */
export const FindingKind = z.enum([
  "error",
  "hidden",
  "unused",
  "duplicate",
  "contradiction",
]);
/** What is wrong with a rule. */
export type FindingKind = z.infer<typeof FindingKind>;

/** Names of the checks. */
export const CheckName = z.enum([
  "shared-key",
  "hidden-fencing",
  "blocked-account",
  "idle-account",
  "lone-weight",
  "unused-rank",
  "unserved-model",
  "unloaded-adapters",
  "uncalled-service",
  "unknown-method",
  "unreachable-upstream",
  "default-fencing",
  "repeated-item",
  "repeated-fencing",
  "unreachable-rate",
  "zero-wait",
  "short-deadline",
  "inverted-worth",
  "inverted-target",
  "starved-rank",
  "unlike-retries",
]);
/** Names of the checks. */
export type CheckName = z.infer<typeof CheckName>;

/** A finding without its kind, as one check returns it. */
export const Observation = z.object({
  line: LineNumber,
  message: z.string(),
  /** Other lines that the finding follows from. */
  related: z.array(LineNumber),
});
/** A finding without its kind, as one check returns it. */
export type Observation = z.infer<typeof Observation>;

/** An error, or a rule that does not do what it says. */
export const Finding = z.object({
  kind: FindingKind,
  /** `syntax` for errors. */
  check: z.union([CheckName, z.literal("syntax")]),
  ...Observation.shape,
});
/** An error, or a rule that does not do what it says. */
export type Finding = z.infer<typeof Finding>;

/** A value that differs; null where the rule does not state the key. */
export const Change = z.object({
  key: z.string(),
  from: z.string().nullable(),
  to: z.string().nullable(),
});
/** A value that differs; null where the rule does not state the key. */
export type Change = z.infer<typeof Change>;

/** A rule that differs from the base. */
export const Difference = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("added"), rule: z.string(), line: LineNumber }),
  z.object({
    kind: z.literal("removed"),
    rule: z.string(),
    baseLine: LineNumber,
  }),
  z.object({
    kind: z.literal("changed"),
    rule: z.string(),
    line: LineNumber,
    baseLine: LineNumber,
    changes: z.array(Change).min(1),
  }),
]);
/** A rule that differs from the base. */
export type Difference = z.infer<typeof Difference>;

/** Findings of a file and, with a base, the differences from it. */
export const ConfigurationReport = z.object({
  file: z.string(),
  /** Number of rules; 0 if the file has errors. */
  rules: z.number().int().nonnegative(),
  findings: z.array(Finding),
  base: z.object({ name: z.string(), errors: z.array(Finding) }).nullable(),
  /** Null without a base, or if either text has errors. */
  differences: z.array(Difference).nullable(),
});
/** Findings of a file and, with a base, the differences from it. */
export type ConfigurationReport = z.infer<typeof ConfigurationReport>;
