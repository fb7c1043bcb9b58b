/**
 * Evidence of hosts that is worth passing on.
 *
 * @module
 */
import type { PeerMessageOf } from "@zinniahill/schema";

type Observation = PeerMessageOf<"evidence">["hosts"][number];

interface Passed {
  readonly missing: boolean;
  readonly at: number;
}

/**
 * Drops what was passed on a moment ago. Every node that probes a lost host
 * reports it, and one report is enough for the others to probe it themselves.
 */
export class EvidenceFilter {
  #validityMs: number;
  #passed = new Map<string, Passed>();

  /** The same observation is passed on again after `validityMs`. */
  constructor(validityMs: number) {
    this.#validityMs = validityMs;
  }

  /** Selects observations that are new, and notes them as passed on. */
  select(hosts: readonly Observation[], now: number): Observation[] {
    this.#forget(now);
    const selected = hosts.filter(({ host, missing }) =>
      this.#passed.get(host)?.missing !== missing
    );
    for (const { host, missing } of selected) {
      this.#passed.delete(host);
      this.#passed.set(host, { missing, at: now });
    }
    return selected;
  }

  /** Entries are in the order of their time. */
  #forget(now: number): void {
    for (const [host, { at }] of this.#passed) {
      if (now - at < this.#validityMs) {
        return;
      }
      this.#passed.delete(host);
    }
  }
}
