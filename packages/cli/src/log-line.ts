/**
 * Parses the log lines of nodes.
 *
 * @module
 */
import { Result } from "true-myth";

/** An event that a node logged. */
export interface LogLine {
  /** Milliseconds since 1970-01-01T00:00:00Z. */
  readonly timestampMs: number;
  readonly time: string;
  readonly node: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
}

const FIELD_PATTERN = /([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)/gy;
const FIRST_FIELD_PATTERN = /(?:^|\s)(time=\S+ level=)/;

/** Parses a log line; a prefix before its first field is ignored. */
export function parseLogLine(text: string): Result<LogLine, string> {
  const firstField = FIRST_FIELD_PATTERN.exec(text);
  if (firstField === null) {
    return Result.err("not a log line of a node");
  }
  const fields = new Map<string, string>();
  const line = text.slice(firstField.index).trim();
  for (let offset = 0; offset < line.length;) {
    FIELD_PATTERN.lastIndex = offset;
    const match = FIELD_PATTERN.exec(line);
    if (match === null) {
      return Result.err(`malformed field at offset ${offset}`);
    }
    const value = unquote(match[2]!);
    if (value.isErr) {
      return Result.err(value.error);
    }
    fields.set(match[1]!, value.value);
    offset = FIELD_PATTERN.lastIndex + 1;
  }
  const time = fields.get("time") ?? "";
  const timestampMs = Date.parse(time);
  const event = fields.get("event");
  return event === undefined || Number.isNaN(timestampMs)
    ? Result.err("missing event, or missing or invalid time")
    : Result.ok({
      timestampMs,
      time,
      node: fields.get("node") ?? "",
      event,
      fields,
    });
}

function unquote(text: string): Result<string, string> {
  if (!text.startsWith('"')) {
    return Result.ok(text);
  }
  try {
    return Result.ok(String(JSON.parse(text)));
  } catch {
    return Result.err(`malformed quoted value ${text}`);
  }
}
