/**
 * Ends attempts on groups that are gone, and reports those on groups in doubt.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { GroupState } from "@zinniahill/schema";
import type { Evidence } from "../groups/evidence.ts";
import { waitUpTo } from "../groups/wait.ts";
import type { TokenCount } from "./token-count.ts";

/** A signal with an end. */
export interface Watch {
  readonly signal: AbortSignal;
  end(): void;
}

/** One attempt that runs on a group. */
export interface WatchedAttempt {
  readonly group: GroupState;
  readonly tokens: TokenCount;
  /**
   * Called repeatedly while the group is in doubt but not gone, and the attempt
   * brings nothing.
   */
  onDoubt(): void;
}

interface Entry extends WatchedAttempt {
  readonly abort: (reason: unknown) => void;
}

/** Evidence becomes stale without a notification. */
const CHECK_INTERVAL_MS = 500;
/** An attempt with so recent a token is not silent. */
const FLOWING_MS = 250;

/**
 * Watches the evidence of groups with running attempts: one task for all
 * streams, as a task and a timer for each stream would cost more than its
 * tokens.
 */
export class GroupWatch {
  #clock: Clock;
  #evidence: Evidence;
  #attempts = new Map<string, Set<Entry>>();

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

  /**
   * Gives a signal that aborts with any of `signals`, and when the group of the
   * attempt is gone.
   */
  watch(watched: WatchedAttempt, signals: readonly AbortSignal[]): Watch {
    const { group } = watched;
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
    const attempt: Entry = { ...watched, abort };
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

  #remove(attempt: Entry): void {
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
      const { group } = first;
      const isGone = this.#evidence.isGone(group);
      const isMissing = this.#evidence.isMissing(group);
      const hasMoved = this.#hasMoved(group);
      for (const attempt of attempts) {
        if (isGone) {
          attempt.abort(new Error("a host of the group is gone"));
        } else if (isMissing && !this.#isFlowing(attempt)) {
          attempt.onDoubt();
        } else if (hasMoved && attempt.tokens.count === 0) {
          attempt.onDoubt();
        }
      }
    }
  }

  /** A missed probe is known only later, when the group may have gone on. */
  #isFlowing({ tokens: { lastAt } }: WatchedAttempt): boolean {
    return lastAt !== undefined && this.#clock.now() - lastAt <= FLOWING_MS;
  }

  /**
   * Whether work without a token should be tried elsewhere. The deadline of the
   * first token is long, as the engine may queue the request.
   */
  #hasMoved(group: GroupState): boolean {
    return this.#evidence.findObstacle(group) !== undefined &&
      this.#evidence.listServable(group.model).length > 0;
  }
}
