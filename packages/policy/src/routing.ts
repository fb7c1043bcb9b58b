/**
 * Routing: which group gets a request.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";

/** A group that may be chosen. */
export interface RouteCandidate {
  readonly group: string;
  readonly dataCentre: string;
  /** Requests in flight at the group, as its last report says. */
  readonly reportedLoad: number;
}

/** What routing needs to know of a request. */
export interface RouteRequest {
  readonly dataCentre: string;
  /** Groups that have failed this request. */
  readonly excluded: ReadonlySet<string>;
}

/** Chooses groups and counts the work that this node has given them. */
export class Routing {
  #random: Random;
  #outstanding = new Map<string, number>();

  constructor(random: Random) {
    this.#random = random;
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
    const allowed = candidates.filter(({ group }) =>
      !request.excluded.has(group)
    );
    const near = allowed.filter(({ dataCentre }) =>
      dataCentre === request.dataCentre
    );
    return this.#chooseOfTwo(near.length > 0 ? near : allowed);
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

  #chooseOfTwo(
    candidates: readonly RouteCandidate[],
  ): RouteCandidate | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = candidates[this.#random.below(candidates.length)]!;
    const second = candidates[this.#random.below(candidates.length)]!;
    return this.#countLoad(second) < this.#countLoad(first) ? second : first;
  }

  #countLoad({ group, reportedLoad }: RouteCandidate): number {
    return Math.max(this.countOutstanding(group), reportedLoad);
  }
}
