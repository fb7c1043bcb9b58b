/**
 * Entries of the instance list that name no upstream.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Instance } from "../model/instance.ts";

/** Exceeds a heartbeat of the users' deployments, and its way to this node. */
const RENEWAL_MS = 2500;

/** Such an entry under an id that has no other one. */
interface UnfitEntry {
  /** Undefined if the entry cannot be read. */
  readonly instance: Instance | undefined;
  /** When the id was first seen without another entry. */
  readonly since: number;
}

/**
 * Keeps the newest entry of each id, as a later configuration may name its
 * service, and the time since when the id has no other entry.
 */
export class UnfitEntries {
  #clock: Clock;
  #entries = new Map<string, UnfitEntry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Keeps an entry; `instance` is undefined if it cannot be read. */
  record(id: string, instance: Instance | undefined): void {
    const known = this.#entries.get(id);
    this.#entries.set(id, {
      instance: instance ?? known?.instance,
      since: known?.since ?? this.#clock.now(),
    });
  }

  /** Forgets an id that has another entry, or none any more. */
  delete(id: string): void {
    this.#entries.delete(id);
  }

  /** Lists the entries that can be read. */
  list(): Instance[] {
    return [...this.#entries.values()].flatMap(({ instance }) =>
      instance ?? []
    );
  }

  /**
   * Whether an entry of another writer may hide that of an instance: it has
   * stood alone under its id for less than a heartbeat.
   */
  get isAwaitingRenewal(): boolean {
    const now = this.#clock.now();
    return [...this.#entries.values()]
      .some(({ since }) => now - since < RENEWAL_MS);
  }
}
