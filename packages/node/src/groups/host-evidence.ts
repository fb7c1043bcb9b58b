/**
 * What is known of each host, and when it was learned.
 *
 * @module
 */
import type { EngineStatus } from "@zinniahill/schema";

/** One observation of a host that is present. */
export type Sighting =
  /** The host gave its status itself. */
  | { readonly status: EngineStatus }
  /** The lead of the group has heard the host as a member. */
  | { readonly heardIn: string; readonly ageMs: number };

/** What is known of one host. */
export interface HostEvidence {
  /** The last status that the host gave itself. */
  readonly status?: EngineStatus;
  /** The group whose lead last heard the host. */
  readonly heardIn?: string;
  /** When the last probe that found the host was sent. */
  readonly seenAt?: number;
  /** When the host was last found missing. */
  readonly missedAt?: number;
  /** Since when the host has been missing without a break. */
  readonly missingSince?: number;
  /** Whether the host has refused a connection since it is missing. */
  readonly hasRefused?: boolean;
  /** Since when the host has been seen without a break after an absence. */
  readonly returnedAt?: number;
  /** Since when the host has been missing or not settled. */
  readonly unsettledSince?: number;
}

/** The most recent evidence by host. */
export class HostEvidenceTable {
  #settleMs: number;
  #hosts = new Map<string, HostEvidence>();

  /** A host that returns counts as present after `settleMs` without a miss. */
  constructor(settleMs: number) {
    this.#settleMs = settleMs;
  }

  /** Hosts of which anything is known. */
  get all(): ReadonlyMap<string, HostEvidence> {
    return this.#hosts;
  }

  /** Returns what is known of a host. */
  find(host: string): HostEvidence {
    return this.#hosts.get(host) ?? {};
  }

  /** Notes that a probe sent at `sentAt` found the host. */
  notePresent(host: string, sighting: Sighting, sentAt: number): void {
    const ageMs = "heardIn" in sighting ? sighting.ageMs : 0;
    const seenAt = sentAt - ageMs;
    const known = this.find(host);
    const { missingSince, returnedAt, unsettledSince } = known;
    // A reply that was overtaken by a later one says nothing new.
    if (seenAt < Math.max(known.seenAt ?? 0, known.missedAt ?? 0)) {
      return;
    }
    const returned = missingSince === undefined ? returnedAt : seenAt;
    const isSettled = returned === undefined ||
      seenAt - returned >= this.#settleMs;
    this.#hosts.set(host, {
      ...sighting,
      seenAt,
      ...(isSettled ? {} : { returnedAt: returned, unsettledSince }),
    });
  }

  /** Notes that a host did not answer, or was not heard by its lead. */
  noteMissing(host: string, now: number, isRefused = false): void {
    const known = this.find(host);
    const { returnedAt: _returnedAt, ...rest } = known;
    this.#hosts.set(host, {
      ...rest,
      missedAt: now,
      missingSince: known.missingSince ?? now,
      ...(isRefused ? { hasRefused: true } : {}),
      unsettledSince: known.unsettledSince ?? now,
    });
  }

  /** Forgets hosts that no probe concerns any more. */
  retain(hosts: ReadonlySet<string>): void {
    for (const host of this.#hosts.keys()) {
      if (!hosts.has(host)) {
        this.#hosts.delete(host);
      }
    }
  }
}
