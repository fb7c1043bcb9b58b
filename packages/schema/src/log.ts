/**
 * Replies of the log service.
 *
 * @module
 */
import * as z from "zod";
import { Era, Offset } from "./records.ts";

/** Reply to an append. */
export const AppendReply = z.object({ offset: Offset });
/** Reply to an append. */
export type AppendReply = z.infer<typeof AppendReply>;

/** One append: the records that were written together. */
export const LogEntry = z.object({
  offset: Offset,
  records: z.array(z.unknown()),
});
/** One append: the records that were written together. */
export type LogEntry = z.infer<typeof LogEntry>;

/** Reply to a read. */
export const LogPage = z.object({
  /** Oldest retained offset. */
  first: Offset,
  /** Offset of the next append. */
  next: Offset,
  entries: z.array(LogEntry),
  /**
   * Increases each time the log is restored from a copy, which gives offsets
   * out again. 0 for a log that does not report it.
   */
  era: Era.default(0),
});
/** Reply to a read. */
export type LogPage = z.infer<typeof LogPage>;
