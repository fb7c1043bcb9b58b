/**
 * Records as the log stand-in has taken them.
 *
 * @module
 */
import { CallRecord, ControlRecord } from "@zinniahill/schema";

/** A record of either stream. */
export type LogRecord = ControlRecord | CallRecord;

/** Reads a record; undefined when it is of no known kind. */
export function parseRecord(candidate: unknown): LogRecord | undefined {
  return ControlRecord.safeParse(candidate).data ??
    CallRecord.safeParse(candidate).data;
}
