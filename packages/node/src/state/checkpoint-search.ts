/**
 * Finds the checkpoint from which a reader of the control stream starts.
 *
 * @module
 */
import type { Fault, Log } from "@zinniahill/clients";
import { isOfLog, listCheckpoints } from "@zinniahill/policy";
import type { ControlSnapshot } from "@zinniahill/schema";
import { Result } from "true-myth";

/** Most entries that one read of the log returns. */
export const MAX_PAGE_ENTRIES = 500;

/** The retained part of the stream and its newest checkpoint. */
export interface CheckpointSearchResult {
  /** Oldest retained offset. */
  readonly first: number;
  /** Era of the log when the search ended. */
  readonly era: number;
  /** Undefined when the retained part has no usable checkpoint. */
  readonly checkpoint: ControlSnapshot | undefined;
}

/**
 * Finds the newest checkpoint in the control stream. Searches backwards from
 * the end, because it is near the end and the retained part may be long.
 */
export async function findNewestCheckpoint(
  log: Log,
  signal: AbortSignal,
): Promise<Result<CheckpointSearchResult, Fault>> {
  const readPage = (from: number, max: number) =>
    log.read("control", { from, max, waitMs: 0 }, signal);
  const retained = await readPage(1, 1);
  if (retained.isErr) {
    return Result.err(retained.error);
  }
  let { first, next: end, era } = retained.value;
  while (end > first) {
    const from = Math.max(first, end - MAX_PAGE_ENTRIES);
    const page = await readPage(from, end - from);
    if (page.isErr) {
      return Result.err(page.error);
    }
    ({ first, era } = page.value);
    const entries = page.value.entries.filter(({ offset }) => offset < end);
    for (const checkpoint of listCheckpoints(entries, first)) {
      const covered = await readPage(Math.max(1, checkpoint.asOf), 1);
      if (covered.isErr) {
        return Result.err(covered.error);
      }
      if (isOfLog(checkpoint, covered.value.entries[0])) {
        return Result.ok({ first, era: covered.value.era, checkpoint });
      }
    }
    end = from;
  }
  return Result.ok({ first, era, checkpoint: undefined });
}
