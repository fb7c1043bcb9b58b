/**
 * Reads the lines that nodes log.
 *
 * @module
 */
import { Result } from "true-myth";

/** One event as a node logged it. */
export interface LogLine {
  /** Milliseconds since 1970-01-01T00:00:00Z. */
  readonly timestampMs: number;
  readonly time: string;
  readonly node: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)/gy;
const FIRST_PAIR = /(?:^|\s)(time=\S+ level=)/;

/** Parses a line; text before its first pair, such as a prefix, is ignored. */
export function parseLogLine(text: string): Result<LogLine, string> {
  const begin = FIRST_PAIR.exec(text);
  if (begin === null) {
    return Result.err("not a line of a node");
  }
  const fields = new Map<string, string>();
  const line = text.slice(begin.index).trim();
  for (let offset = 0; offset < line.length;) {
    PAIR.lastIndex = offset;
    const pair = PAIR.exec(line);
    if (pair === null) {
      return Result.err(`damaged after ${offset} characters`);
    }
    const value = unquote(pair[2]!);
    if (value.isErr) {
      return Result.err(value.error);
    }
    fields.set(pair[1]!, value.value);
    offset = PAIR.lastIndex + 1;
  }
  const time = fields.get("time") ?? "";
  const timestampMs = Date.parse(time);
  const event = fields.get("event");
  return event === undefined || Number.isNaN(timestampMs)
    ? Result.err("a line without a time or an event")
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
    return Result.err(`damaged value ${text}`);
  }
}
