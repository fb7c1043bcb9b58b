/**
 * Hosts that have left their groups while the lead may still be in them.
 *
 * An engine ends a group itself once a member has been missing for the stall
 * time. Until then, a lead that no node reaches stands still, and the members
 * that have left it wait.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Instances } from "../hosts/instances.ts";
import type { Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";

/** Tracks released hosts on every node, by their own entries. */
export class ReleasedHosts {
  #clock: Clock;
  #stallMs: number;
  /** When members were first seen without their group. */
  #releasedAt = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#stallMs = kernel.find("settings").limits.stallMs;
    const instances: Instances = kernel.find("instances");
    instances.onInstance((instance, previous) =>
      this.#record(instance, previous)
    );
  }

  /** Whether a host has left a group that may not have ended yet. */
  isHeldBack(id: string): boolean {
    const releasedAt = this.#releasedAt.get(id) ?? -Infinity;
    const isHeldBack = this.#clock.now() - releasedAt < this.#stallMs;
    if (!isHeldBack) {
      this.#releasedAt.delete(id);
    }
    return isHeldBack;
  }

  dump(): unknown {
    return [...this.#releasedAt.keys()];
  }

  #record(
    { id, bornAt, engine }: Instance,
    previous: Instance | undefined,
  ): void {
    if (engine?.membership !== undefined) {
      this.#releasedAt.delete(id);
      return;
    }
    const before = previous?.engine?.membership;
    // A process that has started again was never in the group, and a lead that
    // leaves takes the group with it.
    if (
      before !== undefined && before.rank > 0 && previous?.bornAt === bornAt
    ) {
      this.#releasedAt.set(id, this.#clock.now());
    }
  }
}
