/**
 * Deadlines for waits.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** A wait exceeded its deadline. */
export class DeadlineError extends Error {
  override name = "DeadlineError";
}

/**
 * Runs `work` with a signal that aborts when `ms` have passed or when `signal`
 * aborts, and rejects at that moment even if `work` ignores its signal.
 */
export async function withDeadline<Value>(
  clock: Clock,
  ms: number,
  signal: AbortSignal | undefined,
  work: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const controller = new AbortController();
  const onAbort = () => controller.abort(signal?.reason);
  const cancel = clock.schedule(ms, () => {
    controller.abort(
      new DeadlineError(`no result within ${Math.round(ms)} ms`),
    );
  });
  if (signal?.aborted) {
    onAbort();
  }
  signal?.addEventListener("abort", onAbort, { once: true });
  try {
    return await Promise.race([
      work(controller.signal),
      rejectOnAbort(controller.signal),
    ]);
  } finally {
    cancel();
    signal?.removeEventListener("abort", onAbort);
  }
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    if (signal.aborted) {
      reject(signal.reason);
      return;
    }
    signal.addEventListener("abort", () => reject(signal.reason), {
      once: true,
    });
  });
}
