/**
 * Suspected groups that this node checks once it holds placement.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { CheckCause } from "./group-checker.ts";

/** After this time, the engine of a broken group has ended the group itself. */
const EXPIRY_MS = 5000;

interface PendingCheck {
  readonly group: string;
  readonly epoch: number;
  readonly cause: CheckCause;
  readonly addedAt: number;
}

/**
 * Keeps suspicions that arrive while this node does not hold placement, or while
 * the group is busy. Every node receives each of them, so the next holder has
 * them, too.
 */
export class PendingChecks {
  #clock: Pick<Clock, "now">;
  #pending = new Map<string, PendingCheck>();

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  /** Adds a suspicion. */
  add(group: string, epoch: number, cause: CheckCause): void {
    this.#removeExpired();
    const known = this.#pending.get(group);
    this.#pending.set(group, {
      group,
      epoch,
      // The end of a process is certain, unlike a stall.
      cause: known?.cause === "ended" ? known.cause : cause,
      addedAt: this.#clock.now(),
    });
  }

  /** Removes and returns the suspicions that have not expired. */
  take(): PendingCheck[] {
    this.#removeExpired();
    const checks = [...this.#pending.values()];
    this.#pending.clear();
    return checks;
  }

  dump(): unknown {
    return [...this.#pending.keys()];
  }

  #removeExpired(): void {
    const now = this.#clock.now();
    for (const [group, { addedAt }] of this.#pending) {
      if (now - addedAt >= EXPIRY_MS) {
        this.#pending.delete(group);
      }
    }
  }
}
