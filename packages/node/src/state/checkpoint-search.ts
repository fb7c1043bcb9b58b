/**
 * The search for the checkpoint that a reader starts from.
 *
 * @module
 */
import type { Fault, Log } from "@zinniahill/clients";
import { findCheckpoint } from "@zinniahill/policy";
import type { ControlSnapshot } from "@zinniahill/schema";
import { Result } from "true-myth";

/** Entries that one read of the log asks for. */
export const MAX_PAGE_ENTRIES = 500;

/** What the retained part of the stream offers to a reader. */
export interface CheckpointSearchResult {
  /** Oldest retained offset. */
  readonly first: number;
  readonly checkpoint: ControlSnapshot | undefined;
}

/**
 * Searches the control stream from its end, because the newest checkpoint is
 * near the end and the retained part may be long.
 */
export async function findNewestCheckpoint(
  log: Log,
  signal: AbortSignal,
): Promise<Result<CheckpointSearchResult, Fault>> {
  const read = (from: number, max: number) =>
    log.read("control", { from, max, waitMs: 0 }, signal);
  const extent = await read(1, 1);
  if (extent.isErr) {
    return Result.err(extent.error);
  }
  let { first, next: end } = extent.value;
  while (end > first) {
    const from = Math.max(first, end - MAX_PAGE_ENTRIES);
    const page = await read(from, end - from);
    if (page.isErr) {
      return Result.err(page.error);
    }
    first = page.value.first;
    const entries = page.value.entries.filter(({ offset }) => offset < end);
    const checkpoint = findCheckpoint(entries, first);
    if (checkpoint !== undefined) {
      return Result.ok({ first, checkpoint });
    }
    end = from;
  }
  return Result.ok({ first, checkpoint: undefined });
}
