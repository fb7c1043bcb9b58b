/**
 * Logs: one line of key=value pairs for each event.
 *
 * @module
 */
import winston from "winston";

/** Values that a log line can hold. */
export type Field = string | number | boolean | undefined;

/** The named values of one event. */
export interface Fields {
  readonly [key: string]: Field;
}

/** Severity of an event, in the order of `winston`. */
export type Level = "error" | "warn" | "info" | "debug";

/** Writes events. */
export interface Logger {
  error(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  debug(event: string, fields?: Fields): void;
}

/** Where and what a `LineLogger` writes. */
export interface LoggerOptions {
  readonly level: Level | "silent";
  /** Pairs that are put on every line, such as the node's name. */
  readonly fields: Fields;
}

const BARE_VALUE = /^[A-Za-z0-9_.:\/@+-]+$/;

/** Formats one value; quotes it where a reader could not split the line. */
export function formatValue(value: Field): string {
  const text = String(value);
  return BARE_VALUE.test(text) ? text : JSON.stringify(text);
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

/** A logger that writes lines to the standard error stream. */
export class LineLogger implements Logger {
  #logger: winston.Logger;
  #fields: Fields;

  constructor(options: LoggerOptions) {
    this.#fields = options.fields;
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
      transports: [
        new winston.transports.Console({
          stderrLevels: ["error", "warn", "info", "debug"],
        }),
      ],
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

  #write(level: Level, event: string, fields: Fields): void {
    this.#logger.log(level, event, { fields: { ...this.#fields, ...fields } });
  }
}
