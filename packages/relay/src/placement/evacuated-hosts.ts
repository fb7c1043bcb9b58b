/**
 * Hosts in evacuated data centres, which placement leaves as they are.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { Group } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { Evacuations } from "../routing/evacuations.ts";
import type { RelayKernel } from "../services.ts";
import { PlacementError } from "./order-sender.ts";

/** Work that ends when one of its hosts is evacuated. */
interface GuardedWork {
  readonly hosts: readonly string[];
  readonly controller: AbortController;
}

/** Tells which hosts and groups are evacuated, and ends work on them. */
export class EvacuatedHosts {
  #evacuations: Evacuations;
  #instances: Instances;
  #works = new Set<GuardedWork>();

  constructor(kernel: RelayKernel) {
    this.#evacuations = kernel.find("evacuations");
    this.#instances = kernel.find("instances");
    this.#evacuations.onChange(() => {
      this.#abortEvacuated();
      // The plan changes although no instance has.
      this.#instances.changed.notify();
    });
  }

  /** Whether a host is listed in an evacuated data centre. */
  includesHost(id: string): boolean {
    const dataCentre = this.#instances.find(id)?.dataCentre;
    return dataCentre !== undefined &&
      this.#evacuations.isEvacuated(dataCentre);
  }

  /** Whether a member of the group is in an evacuated data centre. */
  includesGroup(group: Group): boolean {
    return this.#evacuations.isEvacuatedGroup(group);
  }

  /**
   * Runs work with a signal that is also aborted when one of the hosts is
   * evacuated, so that it takes no part of the loads that are needed elsewhere.
   */
  async runUntilEvacuated(
    hosts: readonly string[],
    signal: AbortSignal,
    work: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    const guarded = { hosts, controller: new AbortController() };
    const combined = AbortSignal.any([signal, guarded.controller.signal]);
    // Each host adds several listeners, more in total than the default limit.
    setMaxListeners(0, combined);
    this.#works.add(guarded);
    try {
      await work(combined);
    } finally {
      this.#works.delete(guarded);
    }
  }

  #abortEvacuated(): void {
    for (const { hosts, controller } of this.#works) {
      if (hosts.some((id) => this.includesHost(id))) {
        controller.abort(new PlacementError("its data centre is evacuated"));
      }
    }
  }
}
