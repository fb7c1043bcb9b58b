/**
 * Ends attempts on groups that cannot bring their answers any more.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { GroupState } from "@zinniahill/schema";
import type { Evidence } from "../groups/evidence.ts";
import { waitUpTo } from "../groups/wait.ts";

/** A signal with an end. */
export interface Watch {
  readonly signal: AbortSignal;
  end(): void;
}

/** One attempt that runs on a group. */
interface WatchedAttempt {
  readonly group: GroupState;
  readonly hasToken: () => boolean;
  readonly abort: (reason: unknown) => void;
}

/** Evidence becomes stale without a notification. */
const CHECK_INTERVAL_MS = 500;

/**
 * Watches the evidence of groups with running attempts: one task for all
 * streams, as a task and a timer for each stream would cost more than its
 * tokens.
 */
export class GroupWatch {
  #clock: Clock;
  #evidence: Evidence;
  #attempts = new Map<string, Set<WatchedAttempt>>();

  constructor(clock: Clock, evidence: Evidence) {
    this.#clock = clock;
    this.#evidence = evidence;
  }

  /** Checks all groups whenever evidence changes. */
  async run(signal: AbortSignal): Promise<void> {
    const { changed } = this.#evidence;
    while (!signal.aborted) {
      await waitUpTo(this.#clock, changed, CHECK_INTERVAL_MS, signal);
      this.#check();
    }
  }

  /** Whether a host of the group is missing; a draining group is not lost. */
  isLost({ hosts }: GroupState): boolean {
    return hosts.some((host) =>
      this.#evidence.find(host).missingSince !== undefined
    );
  }

  /**
   * Gives a signal that aborts with any of `signals`, and when the attempt must
   * leave the group.
   */
  watch(
    group: GroupState,
    hasToken: () => boolean,
    signals: readonly AbortSignal[],
  ): Watch {
    const controller = new AbortController();
    const onAbort = ({ target }: Event) => {
      controller.abort((target as AbortSignal).reason);
    };
    for (const signal of signals) {
      if (signal.aborted) {
        controller.abort(signal.reason);
      }
      signal.addEventListener("abort", onAbort, { once: true });
    }
    const abort = (reason: unknown) => controller.abort(reason);
    const attempt = { group, hasToken, abort };
    const attempts = this.#attempts.get(group.group) ?? new Set();
    this.#attempts.set(group.group, attempts.add(attempt));
    return {
      signal: controller.signal,
      end: () => {
        signals.forEach((signal) =>
          signal.removeEventListener("abort", onAbort)
        );
        this.#remove(attempt);
      },
    };
  }

  #remove(attempt: WatchedAttempt): void {
    const { group } = attempt.group;
    const attempts = this.#attempts.get(group);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      this.#attempts.delete(group);
    }
  }

  #check(): void {
    for (const attempts of [...this.#attempts.values()]) {
      const [first] = attempts;
      if (first === undefined) {
        continue;
      }
      const isLost = this.isLost(first.group);
      const hasMoved = !isLost && this.#hasMoved(first.group);
      for (const { hasToken, abort } of attempts) {
        if (isLost) {
          abort(new Error("a host of the group is missing"));
        } else if (hasMoved && !hasToken()) {
          abort(new Error("the group is not served any more"));
        }
      }
    }
  }

  /**
   * Whether work without a token should go elsewhere. The deadline of the first
   * token is long, as the engine may queue the request.
   */
  #hasMoved(group: GroupState): boolean {
    return this.#evidence.findObstacle(group) !== undefined &&
      this.#evidence.listServable(group.model).length > 0;
  }
}
