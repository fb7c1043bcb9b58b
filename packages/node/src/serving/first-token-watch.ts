/**
 * Leaves a group that cannot be served any more before its first token.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Progress } from "./stream-attempt.ts";

/** A signal with an end. */
export interface Watch {
  readonly signal: AbortSignal;
  end(): void;
}

/** How often a stream without a first token looks at its group's evidence. */
const WATCH_INTERVAL_MS = 500;

/**
 * Aborts with the caller's signal, and when the work should move to another
 * group while the engine has sent no new token: the deadline of the first token
 * is long, as an engine may queue the request.
 */
export function watchFirstToken(
  clock: Clock,
  progress: Progress,
  hasMoved: () => boolean,
  signal: AbortSignal,
): Watch {
  const before = progress.next;
  const moved = new AbortController();
  const ended = new AbortController();
  const run = async () => {
    while (progress.next === before) {
      await clock.sleep(WATCH_INTERVAL_MS, ended.signal);
      if (progress.next === before && hasMoved()) {
        moved.abort(new Error("the group is not served any more"));
        return;
      }
    }
  };
  // The sleep rejects when the watch ends.
  run().catch(() => {});
  return {
    signal: AbortSignal.any([signal, moved.signal]),
    end: () => ended.abort(),
  };
}
