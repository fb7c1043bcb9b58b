/**
 * Structured logs: one line of key=value pairs for each event.
 *
 * @module
 */
import winston from "winston";
import { BoundedSink } from "./bounded-sink.ts";
import { type Clock, SystemClock } from "./clock.ts";
import type { Service } from "./service.ts";

/** Values that a log line can hold. */
export type FieldValue = string | number | boolean | undefined;

/** The named values of one event. */
export interface Fields {
  readonly [key: string]: FieldValue;
}

/** Severity of an event, in the order of `winston`. */
export type Level = "error" | "warn" | "info" | "debug";

/** Logs events by severity. */
export interface Logger {
  error(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  debug(event: string, fields?: Fields): void;
}

/** Options of a `LineLogger`. */
export interface LoggerOptions {
  readonly level: Level | "silent";
  /** Fields that are added to every line, such as the node's name. */
  readonly fields: Fields;
  /** Where lines go; standard output by default. */
  readonly sink?: BoundedSink;
  readonly clock?: Clock;
}

const UNQUOTED_VALUE = /^[A-Za-z0-9_.:\/@+-]+$/;

/** Formats one value; quotes it if it could break the parsing of a line. */
export function formatValue(value: FieldValue): string {
  const text = String(value);
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Formats an event as one line of key=value pairs. */
export function formatLine(
  time: string,
  level: string,
  event: string,
  fields: Fields,
): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return [`time=${time}`, `level=${level}`, `event=${event}`, ...pairs]
    .join(" ");
}

/** Lines of one event in the current interval. */
interface EventCount {
  lines: number;
  dropped: number;
}

const STDOUT_DESCRIPTOR = 1;
/** Lines of one event in an interval; further lines are only counted. */
const MAX_LINES_PER_INTERVAL = 300;
const INTERVAL_MS = 1000;
/** A reader that stalls may delay the end of the process by this time. */
const FLUSH_LIMIT_MS = 200;

/**
 * A logger that writes lines to standard output. It limits the lines of each
 * event and logs how many were left out.
 */
export class LineLogger implements Logger, Service {
  #logger: winston.Logger;
  #fields: Fields;
  #clock: Clock;
  #sink: BoundedSink;
  #counts = new Map<string, EventCount>();
  #intervalEndsAt = -Infinity;
  #reportedDroppedLines = 0;

  constructor(options: LoggerOptions) {
    this.#fields = options.fields;
    this.#clock = options.clock ?? new SystemClock();
    this.#sink = options.sink ?? new BoundedSink(STDOUT_DESCRIPTOR);
    this.#logger = winston.createLogger({
      level: options.level === "silent" ? "error" : options.level,
      silent: options.level === "silent",
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf(({ timestamp, level, message, fields }) =>
          formatLine(
            String(timestamp),
            level,
            String(message),
            fields as Fields,
          )
        ),
      ),
      transports: [new winston.transports.Stream({ stream: this.#sink })],
    });
  }

  error(event: string, fields: Fields = {}): void {
    this.#write("error", event, fields);
  }

  warn(event: string, fields: Fields = {}): void {
    this.#write("warn", event, fields);
  }

  info(event: string, fields: Fields = {}): void {
    this.#write("info", event, fields);
  }

  debug(event: string, fields: Fields = {}): void {
    this.#write("debug", event, fields);
  }

  /** Writes what is pending, as the process may end after it; called last. */
  stop(): Promise<void> {
    return this.#sink.flush(FLUSH_LIMIT_MS);
  }

  #write(level: Level, event: string, fields: Fields): void {
    this.#endIntervalIfDue();
    const count = this.#counts.get(event) ?? { lines: 0, dropped: 0 };
    this.#counts.set(event, count);
    if (count.lines >= MAX_LINES_PER_INTERVAL) {
      count.dropped++;
      return;
    }
    count.lines++;
    this.#log(level, event, fields);
  }

  /** Logs at the end of an interval how many lines were left out. */
  #endIntervalIfDue(): void {
    const now = this.#clock.now();
    if (now < this.#intervalEndsAt) {
      return;
    }
    this.#intervalEndsAt = now + INTERVAL_MS;
    const counts = [...this.#counts];
    this.#counts.clear();
    for (const [event, { dropped }] of counts) {
      if (dropped > 0) {
        this.#log("warn", "log_lines_left_out", { of: event, lines: dropped });
      }
    }
    const { droppedLines } = this.#sink;
    if (droppedLines > this.#reportedDroppedLines) {
      const lines = droppedLines - this.#reportedDroppedLines;
      this.#reportedDroppedLines = droppedLines;
      this.#log("warn", "log_lines_left_out", { of: "stalled output", lines });
    }
  }

  #log(level: Level, event: string, fields: Fields): void {
    this.#logger.log(level, event, { fields: { ...this.#fields, ...fields } });
  }
}
