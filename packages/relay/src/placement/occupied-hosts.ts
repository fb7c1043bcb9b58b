/**
 * Hosts that are listed as free, but whose own report names a group.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Instances } from "../hosts/instances.ts";
import {
  createProcessKey,
  type Instance,
  type Membership,
} from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";

/** Heartbeats come every 1.2 s in the users' deployments. */
const RETRY_DELAY_MS = 1500;

/** Remembers occupied hosts until their entry changes, or for some time. */
export class OccupiedHosts {
  #clock: Clock;
  #logger: Logger;
  #occupiedUntil = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    const instances: Instances = kernel.find("instances");
    instances.onInstance((instance) =>
      this.#occupiedUntil.delete(createProcessKey(instance))
    );
  }

  /** Records a host whose report names a group that may still use it. */
  record(instance: Instance, { group, epoch, state }: Membership): void {
    this.#logger.info("host_occupied", {
      instance: instance.id,
      group,
      epoch,
      state,
      listed_group: instance.engine?.membership?.group,
    });
    this.#occupiedUntil.set(
      createProcessKey(instance),
      this.#clock.now() + RETRY_DELAY_MS,
    );
  }

  /** Whether a host is known to belong to a group, whatever its entry says. */
  includes(instance: Instance): boolean {
    const key = createProcessKey(instance);
    const until = this.#occupiedUntil.get(key);
    if (until !== undefined && this.#clock.now() >= until) {
      this.#occupiedUntil.delete(key);
      return false;
    }
    return until !== undefined;
  }

  dump(): unknown {
    return [...this.#occupiedUntil.keys()];
  }
}
