/**
 * Ejection of groups that are much slower than the others.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";

interface GroupSpeed {
  tokenGapMs: number;
  samples: number;
  ejectedUntil: number;
  ejections: number;
}

const SMOOTHING = 0.2;
const MIN_SAMPLES = 4;
/** A group is a straggler above this multiple of the median token gap. */
const STRAGGLER_FACTOR = 2;
/** Least share of the candidates that stays in use. */
const MIN_USABLE_SHARE = 0.7;
const INITIAL_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
/** Groups are compared at most this often, as a comparison sorts them. */
const COMPARISON_INTERVAL_MS = 250;

/** Compares groups by the smoothed time between their tokens. */
export class StragglerDetector {
  #clock: Clock;
  #speeds = new Map<string, GroupSpeed>();
  #comparedAt = -Infinity;
  #ejected = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records one measured token gap. */
  record(group: string, tokenGapMs: number): void {
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

  /** Time at which the last ejection of a group ends or ended. */
  getEjectedUntil(group: string): number {
    return this.#speeds.get(group)?.ejectedUntil ?? -Infinity;
  }

  /** Forgets a group. */
  forget(group: string): void {
    this.#speeds.delete(group);
    this.#ejected.delete(group);
  }

  /** Removes stragglers from the candidates, down to the minimum share. */
  filter<Candidate extends { readonly group: string }>(
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const now = this.#clock.now();
    if (now - this.#comparedAt >= COMPARISON_INTERVAL_MS) {
      this.#comparedAt = now;
      this.#compareGroups(now);
    }
    if (this.#ejected.size === 0) {
      return candidates;
    }
    const kept = candidates.filter(({ group }) => !this.#ejected.has(group));
    return kept.length >= candidates.length * MIN_USABLE_SHARE
      ? kept
      : this.#addFastest(kept, candidates);
  }

  #addFastest<Candidate extends { readonly group: string }>(
    kept: readonly Candidate[],
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const missing = Math.ceil(candidates.length * MIN_USABLE_SHARE) -
      kept.length;
    const getGapMs = ({ group }: Candidate) =>
      this.#speeds.get(group)!.tokenGapMs;
    const added = candidates
      .filter(({ group }) => this.#ejected.has(group))
      .sort((a, b) => getGapMs(a) - getGapMs(b))
      .slice(0, missing);
    return [...kept, ...added];
  }

  #compareGroups(now: number): void {
    const gaps = [...this.#speeds.values()]
      .filter(({ samples }) => samples >= MIN_SAMPLES)
      .map(({ tokenGapMs }) => tokenGapMs)
      .sort((a, b) => a - b);
    const median = gaps[Math.floor((gaps.length - 1) / 2)] ?? 0;
    this.#ejected.clear();
    const maxGapMs = median * STRAGGLER_FACTOR;
    for (const [group, speed] of this.#speeds) {
      if (now < speed.ejectedUntil) {
        this.#ejected.add(group);
      } else if (speed.samples >= MIN_SAMPLES && speed.tokenGapMs > maxGapMs) {
        this.#eject(group, speed, now);
      }
    }
  }

  /** Ejects a group, which is then judged by new samples alone. */
  #eject(group: string, speed: GroupSpeed, now: number): void {
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** speed.ejections,
    );
    speed.ejections++;
    speed.ejectedUntil = now + durationMs;
    speed.samples = 0;
    this.#ejected.add(group);
  }
}
