/**
 * A condition variable for async tasks.
 *
 * @module
 */

/** Lets tasks wait until another task notifies them of a change. */
export class Condition {
  #waiters = new Set<() => void>();

  /** Wakes all tasks that wait now. */
  notify(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) {
      wake();
    }
  }

  /** Resolves at the next notification; rejects when the signal aborts. */
  wait(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(signal.reason);
        return;
      }
      const onAbort = () => {
        this.#waiters.delete(wake);
        reject(signal.reason);
      };
      const wake = () => {
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      this.#waiters.add(wake);
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Resolves as soon as `isMet` holds, checked at each notification. */
  async until(isMet: () => boolean, signal: AbortSignal): Promise<void> {
    while (!isMet()) {
      await this.wait(signal);
    }
  }
}
