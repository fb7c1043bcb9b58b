/**
 * Time as a service, so that tests can supply their own.
 *
 * @module
 */

/** Source of time for all services. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin has no meaning. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970-01-01T00:00:00Z. */
  wallTime(): number;
  /** Resolves after `ms`; rejects with the signal's reason when aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls `callback` once after `ms`; the result cancels it. */
  schedule(ms: number, callback: () => void): () => void;
}

/** The clock of the operating system. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUsing(this, ms, signal);
  }

  schedule(ms: number, callback: () => void): () => void {
    const timer = setTimeout(callback, Math.max(0, ms));
    return () => clearTimeout(timer);
  }
}

/** Sleeps by a callback scheduled on a clock; rejects if aborted first. */
export function sleepUsing(
  clock: Pick<Clock, "schedule">,
  ms: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(signal.reason);
      return;
    }
    const onAbort = () => {
      cancel();
      reject(signal?.reason);
    };
    const cancel = clock.schedule(ms, () => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    });
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}
