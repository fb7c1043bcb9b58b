/**
 * Waits that end at a notification or after a time.
 *
 * @module
 */
import { type Clock, type Condition, withDeadline } from "@zinniahill/kernel";

/** Waits for a notification for at most `ms`; rejects when aborted. */
export async function waitUpTo(
  clock: Clock,
  condition: Condition,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  try {
    await withDeadline(
      clock,
      ms,
      signal,
      (limited) => condition.wait(limited),
    );
  } catch (failure) {
    if (signal.aborted) {
      throw failure;
    }
  }
}
