/**
 * Settings of a node: an INI file that is validated before the node starts.
 *
 * @module
 */
import { parse } from "ini";
import { Result } from "true-myth";
import * as z from "zod";
import { Address, Count, createListSchema, Duration, Name } from "./values.ts";

const Secret = z.string().min(16, "expected at least 16 characters");

/** All settings of a node, by section and key. */
export const Settings = z.strictObject({
  node: z.strictObject({
    name: Name,
    "data-centre": Name,
    "public-address": Address,
    "admin-address": Address,
    "peer-address": Address,
    peers: createListSchema(Address).optional(),
    "admin-token": Secret,
    "peer-token": Secret,
  }),
  platform: z.strictObject({
    log: Address,
    "host-list": Address,
    "weight-store": Address,
    "host-list-interval": Duration.default(1000),
    "log-timeout": Duration.default(2000),
    "log-poll": Duration.default(1000),
  }),
  timing: z.strictObject({
    "lease-term": Duration.default(6000),
    "lease-renewal": Duration.default(2000),
    "longest-order": Duration.default(5000),
    "probe-interval": Duration.default(1000),
    "evidence-validity": Duration.default(3000),
    "host-absence": Duration.default(5000),
    "heartbeat-interval": Duration.default(1000),
    "peer-deadline": Duration.default(4000),
    "lookup-validity": Duration.default(5000),
    "stream-progress": Duration.default(2000),
    "call-deadline": Duration.default(10_000),
    // Longer than the longest request, so that a graceful shutdown cuts none.
    "stop-bound": Duration.default(2_700_000),
    "checkpoint-interval": Duration.default(60_000),
  }).prefault({}),
  limits: z.strictObject({
    "checkpoint-records": Count.default(256),
    "body-bytes": Count.default(1_048_576),
    "streams": Count.default(1000),
    "remembered-calls": Count.default(20_000),
    "peer-connections": Count.default(8),
    "routing-subset": Count.default(8),
    "memory-bytes": Count.default(536_870_912),
    "open-files": Count.default(8192),
  }).prefault({}),
  output: z.strictObject({
    "log-level": z.enum(["error", "warn", "info", "debug", "silent"])
      .default("info"),
    metrics: Address.optional(),
  }).prefault({}),
});
/** All settings of a node, by section and key. */
export type Settings = z.infer<typeof Settings>;

/** One error in a settings file. */
export interface SettingsFault {
  readonly file: string;
  readonly line: number | undefined;
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** Parses a settings file; reports every fault with its location. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, SettingsFault[]> {
  const parsed = Settings.safeParse(parse(text));
  const issues = parsed.error?.issues ?? [];
  const faults = [
    ...findDuplicateKeys(file, text),
    ...issues.flatMap((issue) => createFaults(file, text, issue)),
  ];
  return parsed.success && faults.length === 0
    ? Result.ok(parsed.data)
    : Result.err(faults);
}

/** Describes a fault in one line. */
export function describeSettingsFault(fault: SettingsFault): string {
  const location = fault.line === undefined
    ? fault.file
    : `${fault.file}:${fault.line}`;
  const key = fault.key === "" ? "" : ` ${fault.key}`;
  return `${location}: [${fault.section}]${key}: ${fault.message}`;
}

function createFaults(
  file: string,
  text: string,
  issue: z.core.$ZodIssue,
): SettingsFault[] {
  const unknownKeys = issue.code === "unrecognized_keys" ? issue.keys : [];
  if (unknownKeys.length === 0) {
    const [section = "", key = ""] = issue.path.map(String);
    return [createFault(file, text, section, key, describeIssue(issue))];
  }
  return unknownKeys.map((unknownKey) => {
    const [section, key] = issue.path.length === 0
      ? [unknownKey, ""]
      : [String(issue.path[0]), unknownKey];
    const message = key === "" ? "unknown section" : "unknown key";
    return createFault(file, text, section, key, message);
  });
}

function describeIssue(issue: z.core.$ZodIssue): string {
  const isMissing = issue.code === "invalid_type" && issue.input === undefined;
  return isMissing ? "missing; expected a value" : issue.message;
}

/** The INI library keeps the last of two values, which would hide an error. */
function findDuplicateKeys(file: string, text: string): SettingsFault[] {
  const seen = new Set<string>();
  const faults: SettingsFault[] = [];
  let section = "";
  for (const [index, source] of text.split(/\r?\n/).entries()) {
    const sectionHeader = source.trim().match(/^\[(.*)\]$/);
    section = sectionHeader?.[1] ?? section;
    const key = source.match(/^\s*([^;#=\s[][^=]*?)\s*=/)?.[1];
    if (key === undefined) {
      continue;
    }
    const qualifiedKey = `${section} ${key}`;
    if (seen.has(qualifiedKey)) {
      const message = "duplicate key";
      faults.push({ file, line: index + 1, section, key, message });
    }
    seen.add(qualifiedKey);
  }
  return faults;
}

function createFault(
  file: string,
  text: string,
  section: string,
  key: string,
  message: string,
): SettingsFault {
  return { file, line: findLine(text, section, key), section, key, message };
}

function findLine(
  text: string,
  section: string,
  key: string,
): number | undefined {
  const lines = text.split(/\r?\n/).map((line) => line.trim());
  const start = lines.indexOf(`[${section}]`);
  if (start < 0) {
    return undefined;
  }
  if (key === "") {
    return start + 1;
  }
  const followingLines = lines.slice(start + 1);
  const end = followingLines.findIndex((line) => line.startsWith("["));
  const sectionLines = end < 0 ? followingLines : followingLines.slice(0, end);
  const index = sectionLines.findIndex((line) =>
    line.split("=")[0]?.trim() === key
  );
  return index < 0 ? start + 1 : start + index + 2;
}
