/**
 * Routing: which group gets a request.
 *
 * @module
 */
import type { Clock, Random } from "@zinniahill/kernel";
import { StragglerDetector } from "./straggler-detector.ts";
import { PrefixIndex } from "./prefix-index.ts";

/** A group that may be chosen. */
export interface RouteCandidate {
  readonly group: string;
  readonly dataCentre: string;
  /** Requests in flight at the group, as its last report says. */
  readonly reportedLoad: number;
  /** When that report was made, on this node's clock. */
  readonly reportedAt: number;
}

/** What routing needs to know of a request. */
export interface RouteRequest {
  readonly dataCentre: string;
  /** Groups that have failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Hashes of growing prefixes of the prompt, the shortest first. */
  readonly prefix?: readonly string[];
}

/** A report loses half of its weight in this time. */
const REPORT_HALF_LIFE_MS = 1000;
/** A preferred group may have this much more load than the mean. */
const PREFERENCE_LOAD_FACTOR = 1;
/** Load that a preference may add when groups are almost idle. */
const PREFERENCE_SLACK = 1;
/** A new group gets its full part after this time. */
const SLOW_START_MS = 10_000;
const SLOW_START_SHARE = 0.1;

/** Chooses groups and counts the work that this node has given them. */
export class LoadBalancer {
  /** Prefixes that groups are thought to hold in their caches. */
  readonly prefixes: PrefixIndex;
  #clock: Clock;
  #random: Random;
  #speeds: StragglerDetector;
  #outstanding = new Map<string, number>();
  #firstSeenAt = new Map<string, number>();
  #reports = new Map<string, { reportedAt: number; others: number }>();

  constructor(clock: Clock, random: Random, prefixes = new PrefixIndex()) {
    this.prefixes = prefixes;
    this.#clock = clock;
    this.#random = random;
    this.#speeds = new StragglerDetector(clock);
  }

  /** Requests of this node that run on a group. */
  countOutstanding(group: string): number {
    return this.#outstanding.get(group) ?? 0;
  }

  /** Chooses a group; the caller reports its begin and its end. */
  choose(
    request: RouteRequest,
    candidates: readonly RouteCandidate[],
  ): RouteCandidate | undefined {
    const allowed = request.excluded.size === 0
      ? candidates
      : candidates.filter(({ group }) => !request.excluded.has(group));
    const usable = this.#speeds.filter(allowed);
    const bound = this.#getLoadBound(usable);
    const chosen = this.#chooseByPrefix(request.prefix ?? [], usable, bound) ??
      this.#chooseNear(request.dataCentre, usable, bound) ??
      this.#chooseOfTwo(usable);
    if (chosen !== undefined && request.prefix !== undefined) {
      this.prefixes.recordPrompt(chosen.group, request.prefix);
    }
    return chosen;
  }

  /** Counts a request that begins on a group. */
  begin(group: string): void {
    this.#outstanding.set(group, this.countOutstanding(group) + 1);
  }

  /** Counts a request that ends on a group. */
  end(group: string): void {
    const count = this.countOutstanding(group) - 1;
    if (count > 0) {
      this.#outstanding.set(group, count);
    } else {
      this.#outstanding.delete(group);
    }
  }

  /** Takes the mean time between tokens over a part of a stream. */
  recordTokenGap(group: string, ms: number): void {
    this.#speeds.note(group, ms);
  }

  /** Forgets groups that exist no longer. */
  retain(groups: ReadonlySet<string>): void {
    for (const group of this.#firstSeenAt.keys()) {
      if (!groups.has(group)) {
        this.#firstSeenAt.delete(group);
        this.#reports.delete(group);
        this.#speeds.forget(group);
        this.prefixes.forget(group);
      }
    }
  }

  /** The load up to which a group may be preferred to others. */
  #getLoadBound(candidates: readonly RouteCandidate[]): number {
    const load = candidates.reduce(
      (sum, candidate) => sum + this.#countLoad(candidate),
      0,
    );
    return load / candidates.length * PREFERENCE_LOAD_FACTOR +
      PREFERENCE_SLACK;
  }

  #chooseByPrefix(
    prefix: readonly string[],
    candidates: readonly RouteCandidate[],
    bound: number,
  ): RouteCandidate | undefined {
    let best: RouteCandidate | undefined;
    let bestLength = 0;
    for (const candidate of prefix.length > 0 ? candidates : []) {
      const length = this.prefixes.match(candidate.group, prefix);
      if (length > bestLength && this.#countLoad(candidate) <= bound) {
        best = candidate;
        bestLength = length;
      }
    }
    return best;
  }

  /** Two choices in the data centre, unless both have too much work. */
  #chooseNear(
    dataCentre: string,
    candidates: readonly RouteCandidate[],
    bound: number,
  ): RouteCandidate | undefined {
    const near = this.#chooseOfTwo(
      candidates.filter((candidate) => candidate.dataCentre === dataCentre),
    );
    return near !== undefined && this.#countLoad(near) <= bound
      ? near
      : undefined;
  }

  #chooseOfTwo(
    candidates: readonly RouteCandidate[],
  ): RouteCandidate | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const index = this.#random.below(candidates.length);
    const step = 1 + this.#random.below(candidates.length - 1);
    const first = candidates[index]!;
    const second = candidates[(index + step) % candidates.length]!;
    return this.#countLoad(second) < this.#countLoad(first) ? second : first;
  }

  /** Own work, and the work of others as far as the report is fresh. */
  #countLoad(candidate: RouteCandidate): number {
    const own = this.countOutstanding(candidate.group);
    const others = this.#countOthers(candidate);
    const age = this.#clock.now() - candidate.reportedAt;
    const weight = 0.5 ** (age / REPORT_HALF_LIFE_MS);
    return (own + others * weight + 1) / this.#getStartShare(candidate.group);
  }

  /**
   * Work of others, as of the report. Own work is taken off as it was when the
   * report came; taking off the present number would hide all that this node
   * has sent since, and send a burst to one group.
   */
  #countOthers({ group, reportedLoad, reportedAt }: RouteCandidate): number {
    const known = this.#reports.get(group);
    if (known?.reportedAt === reportedAt) {
      return known.others;
    }
    const others = Math.max(0, reportedLoad - this.countOutstanding(group));
    this.#reports.set(group, { reportedAt, others });
    return others;
  }

  #getStartShare(group: string): number {
    const now = this.#clock.now();
    const firstSeenAt = this.#firstSeenAt.get(group);
    if (firstSeenAt === undefined) {
      this.#firstSeenAt.set(group, now);
      return SLOW_START_SHARE;
    }
    // A group that returns from ejection starts slowly too: its new samples
    // come late, because its requests are slow.
    const startedAt = Math.max(
      firstSeenAt,
      this.#speeds.getReturnedAt(group),
    );
    const share = (now - startedAt) / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_SHARE, share));
  }
}
