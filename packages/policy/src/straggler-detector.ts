/**
 * Ejects groups that are much slower than the others.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

interface Speed {
  tokenGapMs: number;
  samples: number;
  ejectedUntil: number;
  ejections: number;
}

const SMOOTHING = 0.2;
const MIN_SAMPLES = 4;
/** A group this much slower than the median is a straggler. */
const STRAGGLER_FACTOR = 2;
/** Groups that stay in use, as a share of the candidates. */
const CAPACITY_FLOOR = 0.7;
const EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
/** Speeds are compared at most this often, as a comparison sorts them. */
const COMPARISON_INTERVAL_MS = 250;

/** Smoothed time between tokens of each group. */
export class StragglerDetector {
  #clock: Clock;
  #speeds = new Map<string, Speed>();
  #comparedAt = -Infinity;
  #ejected = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes one measured gap. */
  note(group: string, tokenGapMs: number): void {
    const speed = this.#speeds.get(group);
    if (speed === undefined) {
      this.#speeds.set(group, {
        tokenGapMs,
        samples: 1,
        ejectedUntil: -Infinity,
        ejections: 0,
      });
      return;
    }
    const weight = speed.samples === 0 ? 1 : SMOOTHING;
    speed.tokenGapMs += weight * (tokenGapMs - speed.tokenGapMs);
    speed.samples++;
  }

  /** When the group's last ejection ends or ended. */
  getReturnedAt(group: string): number {
    return this.#speeds.get(group)?.ejectedUntil ?? -Infinity;
  }

  /** Forgets a group. */
  forget(group: string): void {
    this.#speeds.delete(group);
    this.#ejected.delete(group);
  }

  /** The candidates without stragglers, never fewer than the floor. */
  filter<Candidate extends { readonly group: string }>(
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const now = this.#clock.now();
    if (now - this.#comparedAt >= COMPARISON_INTERVAL_MS) {
      this.#comparedAt = now;
      this.#compare(now);
    }
    if (this.#ejected.size === 0) {
      return candidates;
    }
    const kept = candidates.filter(({ group }) => !this.#ejected.has(group));
    return kept.length >= candidates.length * CAPACITY_FLOOR
      ? kept
      : this.#addFastest(kept, candidates);
  }

  #addFastest<Candidate extends { readonly group: string }>(
    kept: readonly Candidate[],
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const missing = Math.ceil(candidates.length * CAPACITY_FLOOR) - kept.length;
    const gapOf = ({ group }: Candidate) => this.#speeds.get(group)!.tokenGapMs;
    const added = candidates
      .filter(({ group }) => this.#ejected.has(group))
      .sort((a, b) => gapOf(a) - gapOf(b))
      .slice(0, missing);
    return [...kept, ...added];
  }

  #compare(now: number): void {
    const gaps = [...this.#speeds.values()]
      .filter(({ samples }) => samples >= MIN_SAMPLES)
      .map(({ tokenGapMs }) => tokenGapMs)
      .sort((a, b) => a - b);
    const median = gaps[Math.floor((gaps.length - 1) / 2)] ?? 0;
    this.#ejected.clear();
    const limit = median * STRAGGLER_FACTOR;
    for (const [group, speed] of this.#speeds) {
      if (now < speed.ejectedUntil) {
        this.#ejected.add(group);
      } else if (speed.samples >= MIN_SAMPLES && speed.tokenGapMs > limit) {
        this.#eject(group, speed, now);
      }
    }
  }

  /** After an ejection the group is judged by new samples alone. */
  #eject(group: string, speed: Speed, now: number): void {
    const duration = Math.min(
      MAX_EJECTION_MS,
      EJECTION_MS * 2 ** speed.ejections,
    );
    speed.ejections++;
    speed.ejectedUntil = now + duration;
    speed.samples = 0;
    this.#ejected.add(group);
  }
}
