/**
 * Suspected groups that nobody could check, for the next holder of placement.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

/** After this time, the engine of a broken group has ended it by itself. */
const VALID_MS = 5000;

interface PendingCheck {
  readonly group: string;
  readonly epoch: number;
  readonly at: number;
}

/**
 * Remembers suspicions that came while this node did not give orders. Every node
 * hears of each, so whichever holds placement next finds them here.
 */
export class PendingChecks {
  #clock: Pick<Clock, "now">;
  #pending = new Map<string, PendingCheck>();

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  /** Notes a suspicion. */
  put(group: string, epoch: number): void {
    this.#expire();
    this.#pending.set(group, { group, epoch, at: this.#clock.now() });
  }

  /** Removes and returns the suspicions that are still valid. */
  take(): PendingCheck[] {
    this.#expire();
    const checks = [...this.#pending.values()];
    this.#pending.clear();
    return checks;
  }

  dump(): unknown {
    return [...this.#pending.keys()];
  }

  #expire(): void {
    const now = this.#clock.now();
    for (const [group, { at }] of this.#pending) {
      if (now - at >= VALID_MS) {
        this.#pending.delete(group);
      }
    }
  }
}
