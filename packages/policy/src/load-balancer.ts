/**
 * Routing: the choice of the group that gets a request.
 *
 * @module
 */
import type { Clock, Random } from "@zinniahill/kernel";
import { PrefixIndex } from "./prefix-index.ts";
import { StragglerDetector } from "./straggler-detector.ts";

/** A group that can be chosen. */
export interface RouteCandidate {
  readonly group: string;
  readonly dataCentre: string;
  /** Requests in flight at the group, as of its last report. */
  readonly reportedLoad: number;
  /** When that report was made, on this node's clock. */
  readonly reportedAt: number;
}

/** Properties of a request that routing depends on. */
export interface RouteRequest {
  readonly dataCentre: string;
  /** Groups that have failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Hashes of growing prefixes of the prompt, the shortest first. */
  readonly prefix?: readonly string[];
}

/** The weight of a report halves in this time. */
const REPORT_HALF_LIFE_MS = 1000;
/** Load up to which a group is preferred, as a multiple of the mean. */
const PREFERENCE_LOAD_FACTOR = 1;
/** Added to that limit, so that preferences hold on almost idle groups. */
const PREFERENCE_SLACK = 1;
/** A new group gets its full share of the load after this time. */
const SLOW_START_MS = 10_000;
const INITIAL_SHARE = 0.1;

/** Chooses groups and counts the requests that this node has sent them. */
export class LoadBalancer {
  /** Prefixes that are likely to be in the caches of the groups. */
  readonly prefixes: PrefixIndex;
  #clock: Clock;
  #random: Random;
  #stragglers: StragglerDetector;
  #outstanding = new Map<string, number>();
  #firstSeenAt = new Map<string, number>();
  #reports = new Map<string, { reportedAt: number; otherRequests: number }>();

  constructor(clock: Clock, random: Random, prefixes = new PrefixIndex()) {
    this.prefixes = prefixes;
    this.#clock = clock;
    this.#random = random;
    this.#stragglers = new StragglerDetector(clock);
  }

  /** Counts the requests of this node that run on a group. */
  countOutstanding(group: string): number {
    return this.#outstanding.get(group) ?? 0;
  }

  /** Chooses a group; the caller reports when the request begins and ends. */
  choose(
    request: RouteRequest,
    candidates: readonly RouteCandidate[],
  ): RouteCandidate | undefined {
    const allowed = request.excluded.size === 0
      ? candidates
      : candidates.filter(({ group }) => !request.excluded.has(group));
    const usable = this.#stragglers.filter(allowed);
    const maxLoad = this.#computePreferenceLimit(usable);
    const chosen =
      this.#chooseByPrefix(request.prefix ?? [], usable, maxLoad) ??
        this.#chooseInDataCentre(request.dataCentre, usable, maxLoad) ??
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

  /** Records the mean time between tokens over a part of a stream. */
  recordTokenGap(group: string, ms: number): void {
    this.#stragglers.record(group, ms);
  }

  /** Forgets groups that no longer exist. */
  retain(groups: ReadonlySet<string>): void {
    for (const group of this.#firstSeenAt.keys()) {
      if (!groups.has(group)) {
        this.#firstSeenAt.delete(group);
        this.#reports.delete(group);
        this.#stragglers.forget(group);
        this.prefixes.forget(group);
      }
    }
  }

  /** Returns the load up to which a group may be preferred. */
  #computePreferenceLimit(candidates: readonly RouteCandidate[]): number {
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
    maxLoad: number,
  ): RouteCandidate | undefined {
    let best: RouteCandidate | undefined;
    let bestLength = 0;
    for (const candidate of prefix.length > 0 ? candidates : []) {
      const length = this.prefixes.matchLength(candidate.group, prefix);
      if (length > bestLength && this.#countLoad(candidate) <= maxLoad) {
        best = candidate;
        bestLength = length;
      }
    }
    return best;
  }

  /** Two choices in the data centre, unless both exceed the load limit. */
  #chooseInDataCentre(
    dataCentre: string,
    candidates: readonly RouteCandidate[],
    maxLoad: number,
  ): RouteCandidate | undefined {
    const nearby = this.#chooseOfTwo(
      candidates.filter((candidate) => candidate.dataCentre === dataCentre),
    );
    return nearby !== undefined && this.#countLoad(nearby) <= maxLoad
      ? nearby
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

  /** Own requests, and those of other nodes weighted by the report's age. */
  #countLoad(candidate: RouteCandidate): number {
    const ownRequests = this.countOutstanding(candidate.group);
    const otherRequests = this.#countOtherRequests(candidate);
    const ageMs = this.#clock.now() - candidate.reportedAt;
    const weight = 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
    return (ownRequests + otherRequests * weight + 1) /
      this.#getSlowStartShare(candidate.group);
  }

  /**
   * Requests of other nodes, as of the report. The own requests at the time of
   * the report are subtracted: subtracting their present number would hide what
   * this node has sent since, and send a burst to one group.
   */
  #countOtherRequests(
    { group, reportedLoad, reportedAt }: RouteCandidate,
  ): number {
    const known = this.#reports.get(group);
    if (known?.reportedAt === reportedAt) {
      return known.otherRequests;
    }
    const otherRequests = Math.max(
      0,
      reportedLoad - this.countOutstanding(group),
    );
    this.#reports.set(group, { reportedAt, otherRequests });
    return otherRequests;
  }

  #getSlowStartShare(group: string): number {
    const now = this.#clock.now();
    const firstSeenAt = this.#firstSeenAt.get(group);
    if (firstSeenAt === undefined) {
      this.#firstSeenAt.set(group, now);
      return INITIAL_SHARE;
    }
    // A group that returns from ejection starts slowly, too: its requests are
    // slow, so new samples of its speed arrive late.
    const startedAt = Math.max(
      firstSeenAt,
      this.#stragglers.getEjectedUntil(group),
    );
    const share = (now - startedAt) / SLOW_START_MS;
    return Math.min(1, Math.max(INITIAL_SHARE, share));
  }
}
