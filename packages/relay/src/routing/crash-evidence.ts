/**
 * Finds the parts of prompts that crash upstreams ("queries of death").
 *
 * A process that ends takes all its requests with it, most of them innocent. A
 * part counts as harmful if processes keep ending before they have answered a
 * request that holds it, and none answers one in between. A part that innocent
 * requests share is answered elsewhere between two crashes. What a request
 * shares with nobody is a part as well, so that one request which callers send
 * again and again is found, too.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { dropOldest } from "../drop-oldest.ts";

/** A request that was not answered when its upstream process ended. */
export interface SuspectRequest {
  /** The part that is its own; equal for repeats of one request. */
  readonly id: string;
  /** All parts, including its own. */
  readonly parts: readonly string[];
  readonly sentAt: number;
}

/** Requests that hold all of these parts are not sent to upstreams. */
export interface HarmfulParts {
  readonly parts: readonly string[];
  readonly lastCrashAt: number;
  /** Until when the parts are held back. */
  readonly until: number;
}

/** The end of one process, with the suspects that hold a certain part. */
interface Crash {
  readonly at: number;
  readonly suspects: Map<string, SuspectRequest>;
}

/** Crashes without an answer in between that make a part harmful. */
const MIN_CRASHES = 3;
/** The repeats of one request alone do not make its shared parts harmful. */
const MIN_REQUESTS = 2;
/** A part that was there at so many crashes is not tried again by a repeat. */
const MIN_CRASHES_OF_SUSPECT = 2;
/**
 * Processes that end together, as in one fabric domain, count once, unless a
 * request was sent to one of them after the other had ended.
 */
const SEPARATION_MS = 100;
/** Older crashes say nothing about the current state of upstreams. */
const RETENTION_MS = 10 * 60_000;
/** Reports of other nodes may make a crash look later by less than this. */
const MAX_REPORT_DELAY_MS = 1000;
/** Bounds the memory for parts; the oldest are dropped first. */
const MAX_PARTS = 4096;

/** Crashes by part, since a request with the part was last answered. */
export class CrashEvidence {
  #clock: Pick<Clock, "now">;
  /** Crashes by process, for each part. */
  #crashes = new Map<string, Map<string, Crash>>();
  /** Time of the last answer to each part that had been at a crash. */
  #answeredAt = new Map<string, number>();
  /** Findings of other nodes, by the joined parts. */
  #adopted = new Map<string, HarmfulParts>();
  #harmful: readonly HarmfulParts[] = [];

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  /** Records the end of a process and the requests that it had not answered. */
  recordCrash(
    process: string,
    at: number,
    suspects: readonly SuspectRequest[],
  ): void {
    for (const suspect of suspects) {
      for (const part of suspect.parts) {
        if ((this.#answeredAt.get(part) ?? -Infinity) < at) {
          this.#addCrash(part, process, at, suspect);
        }
      }
    }
    this.#update();
  }

  /**
   * Records that the answer to a request with these parts began at `at` and
   * went on. Returns the parts that are no longer suspected for it.
   */
  recordAnswer(parts: readonly string[], at: number): string[] {
    const cleared = parts.filter((part) => this.#clear(part, at));
    if (cleared.length > 0) {
      this.#update();
    }
    return cleared;
  }

  /** Adds what another node has found, unless it is known to be outdated. */
  adopt(parts: readonly string[], lastCrashAt: number): void {
    // Each report adds its own delay to the age of what it passes on.
    const knownAt = lastCrashAt - MAX_REPORT_DELAY_MS;
    const remaining = parts.filter((part) =>
      (this.#answeredAt.get(part) ?? -Infinity) < knownAt
    );
    const key = createKey(remaining);
    const isKnown = (this.#adopted.get(key)?.lastCrashAt ?? -Infinity) >=
      knownAt;
    const until = lastCrashAt + RETENTION_MS;
    if (remaining.length > 0 && !isKnown && until > this.#clock.now()) {
      this.#adopted.set(key, { parts: remaining, lastCrashAt, until });
      this.#update();
    }
  }

  /** Whether nothing is known of any crash. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0 && this.#adopted.size === 0;
  }

  /** The sets of parts that are held back. */
  list(): readonly HarmfulParts[] {
    const now = this.#clock.now();
    if (this.#harmful.some(({ until }) => until <= now)) {
      this.#update();
    }
    return this.#harmful;
  }

  /** Returns the harmful parts that a prompt holds, if there are any. */
  findHarmful(parts: readonly string[]): HarmfulParts | undefined {
    return this.list().find((harmful) =>
      harmful.parts.every((part) => parts.includes(part))
    );
  }

  /** Whether a request with these parts may be the cause of crashes. */
  isSuspect(parts: readonly string[]): boolean {
    return parts.some((part) =>
      countSeparate(this.#listCrashes(part)) >= MIN_CRASHES_OF_SUSPECT
    );
  }

  #addCrash(
    part: string,
    process: string,
    at: number,
    suspect: SuspectRequest,
  ): void {
    const byProcess = this.#crashes.get(part) ?? new Map<string, Crash>();
    const crash = byProcess.get(process) ?? { at, suspects: new Map() };
    crash.suspects.set(suspect.id, suspect);
    byProcess.set(process, crash);
    // The part moves to the end of the map, which is dropped last.
    this.#crashes.delete(part);
    this.#crashes.set(part, byProcess);
    dropOldest(this.#crashes, MAX_PARTS);
  }

  #clear(part: string, at: number): boolean {
    const byProcess = this.#crashes.get(part);
    const isAdopted = [...this.#adopted.values()].some(({ parts }) =>
      parts.includes(part)
    );
    if (byProcess === undefined && !isAdopted) {
      return false;
    }
    this.#answeredAt.set(
      part,
      Math.max(this.#answeredAt.get(part) ?? -Infinity, at),
    );
    dropOldest(this.#answeredAt, MAX_PARTS);
    const isClearedCrash = this.#removeCrashes(part, at);
    return this.#removeAdopted(part, at) || isClearedCrash;
  }

  /** Removes the crashes of a part up to a time; false if there were none. */
  #removeCrashes(part: string, until: number): boolean {
    const byProcess = this.#crashes.get(part);
    const outdated = [...byProcess ?? []].filter(([, { at }]) => at <= until);
    outdated.forEach(([process]) => byProcess?.delete(process));
    if (byProcess?.size === 0) {
      this.#crashes.delete(part);
    }
    return outdated.length > 0;
  }

  /** Removes an innocent part from what other nodes have found. */
  #removeAdopted(part: string, at: number): boolean {
    let isRemoved = false;
    for (const [key, harmful] of [...this.#adopted]) {
      if (harmful.parts.includes(part) && harmful.lastCrashAt <= at) {
        this.#adopted.delete(key);
        const parts = harmful.parts.filter((other) => other !== part);
        if (parts.length > 0) {
          this.#adopted.set(createKey(parts), { ...harmful, parts });
        }
        isRemoved = true;
      }
    }
    return isRemoved;
  }

  #update(): void {
    const now = this.#clock.now();
    for (const part of [...this.#crashes.keys()]) {
      this.#removeCrashes(part, now - RETENTION_MS);
    }
    for (const [key, { until }] of [...this.#adopted]) {
      if (until <= now) {
        this.#adopted.delete(key);
      }
    }
    this.#harmful = [...this.#adopted.values(), ...this.#findCauses()];
  }

  /**
   * Explains the crashes, the rarest part first. An innocent part that many
   * requests hold was at the same crashes, as no upstream could answer one in
   * between; it is a cause only of crashes that no rarer part explains. The own
   * part of one request may stand for a shared one that is the cause, so it
   * acquits shared parts only if it explains all of their crashes.
   */
  #findCauses(): HarmfulParts[] {
    const candidates = [...this.#crashes.keys()]
      .filter((part) => this.#isHarmful(part, new Set()))
      .sort((a, b) =>
        this.#countSuspects(a) - this.#countSuspects(b) ||
        Number(this.#isOwn(b)) - Number(this.#isOwn(a))
      );
    const explained = new Set<string>();
    const explainedByOwn = new Set<string>();
    const causes = new Map<string, HarmfulParts>();
    for (const part of candidates) {
      const processes = [...this.#crashes.get(part)!.keys()];
      const isOwn = this.#isOwn(part);
      const isNeeded = isOwn ||
        processes.some((process) => !explainedByOwn.has(process));
      if (isNeeded && this.#isHarmful(part, explained)) {
        const cause = this.#describe(part);
        causes.set(createKey(cause.parts), cause);
        const known = isOwn ? explainedByOwn : explained;
        processes.forEach((process) => known.add(process));
      }
    }
    return [...causes.values()];
  }

  /** Whether a part was at enough crashes that are not explained yet. */
  #isHarmful(part: string, explained: ReadonlySet<string>): boolean {
    const crashes = [...this.#crashes.get(part) ?? []]
      .filter(([process]) => !explained.has(process))
      .map(([, crash]) => crash);
    const requests = new Set(
      crashes.flatMap(({ suspects }) => [...suspects.keys()]),
    );
    return (requests.size >= MIN_REQUESTS || requests.has(part)) &&
      countSeparate(crashes) >= MIN_CRASHES;
  }

  /** Whether a part is a request's own. */
  #isOwn(part: string): boolean {
    return this.#listCrashes(part).some(({ suspects }) => suspects.has(part));
  }

  #countSuspects(part: string): number {
    return this.#listCrashes(part)
      .reduce((sum, { suspects }) => sum + suspects.size, 0);
  }

  /**
   * A part and those that all suspects with it hold as well: each of them may
   * be the cause. Requests that hold only some of them are still sent, and
   * show which one it is.
   */
  #describe(part: string): HarmfulParts {
    const crashes = this.#listCrashes(part);
    const suspects = crashes.flatMap(({ suspects }) => [...suspects.values()]);
    const common = suspects[0]!.parts.filter((other) =>
      this.#isHarmful(other, new Set()) &&
      suspects.every(({ parts }) => parts.includes(other))
    );
    const times = crashes.map(({ at }) => at);
    const lastCrashAt = Math.max(...times);
    return {
      parts: [...new Set(common)].sort(),
      lastCrashAt,
      until: lastCrashAt + RETENTION_MS,
    };
  }

  #listCrashes(part: string): Crash[] {
    return [...this.#crashes.get(part)?.values() ?? []];
  }
}

/**
 * Counts crashes; those at about the same time count once, unless one of them
 * is the answer to a request that was sent after the other.
 */
function countSeparate(crashes: readonly Crash[]): number {
  let count = 0;
  let lastAt = -Infinity;
  for (const { at, suspects } of [...crashes].sort((a, b) => a.at - b.at)) {
    const sentTimes = [...suspects.values()].map(({ sentAt }) => sentAt);
    if (at - lastAt >= SEPARATION_MS || Math.max(...sentTimes) > lastAt) {
      count++;
      lastAt = at;
    }
  }
  return count;
}

function createKey(parts: readonly string[]): string {
  return [...parts].sort().join(",");
}
