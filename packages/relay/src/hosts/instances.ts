/**
 * The upstream instances that the store lists.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
} from "@zinniahill/kernel";
import type { Instance } from "../model/instance.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import type { RecordDecoder } from "../outside.ts";
import type { RelayKernel } from "../services.ts";

/** Knows every instance by id and by service. */
export class Instances implements Service {
  /** Notified after each change of the list. */
  readonly changed = new Condition();
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #instances = new Map<string, Instance>();
  #version = 0;
  #grownAt = -Infinity;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#decoder = kernel.find("decoder");
    kernel.find("feeds").onChange(
      "instances",
      (records) => this.#apply(records),
    );
  }

  /** Rises with each change of the list. */
  get version(): number {
    return this.#version;
  }

  /** When an instance was listed that was not known before. */
  get grownAt(): number {
    return this.#grownAt;
  }

  /** All instances that are listed. */
  list(): Instance[] {
    return [...this.#instances.values()];
  }

  /** Instances of a service that are listed and not leaving. */
  listReady(service: string): Instance[] {
    return this.list().filter((instance) =>
      instance.service === service && !instance.isDraining
    );
  }

  /** The instance of that id, if it is listed. */
  find(id: string): Instance | undefined {
    return this.#instances.get(id);
  }

  dump(): unknown {
    return this.list();
  }

  #apply(records: readonly KeyRecord[]): void {
    for (const { key, value } of records) {
      if (value === undefined) {
        this.#remove(key);
      } else {
        this.#decoder.instance(key, value).match({
          Ok: (instance) => this.#put(instance),
          Err: (error) => {
            this.#logger.warn("instance_unreadable", { instance: key, error });
          },
        });
      }
    }
    this.#version++;
    this.changed.notify();
  }

  #put(instance: Instance): void {
    const known = this.#instances.get(instance.id);
    this.#instances.set(instance.id, instance);
    if (known === undefined) {
      this.#grownAt = this.#clock.now();
      this.#logger.info("instance_listed", {
        instance: instance.id,
        service: instance.service,
        address: instance.address,
      });
    } else if (known.isDraining !== instance.isDraining) {
      this.#logger.info("instance_draining", { instance: instance.id });
    }
    this.#logMembership(known, instance);
  }

  #logMembership(known: Instance | undefined, instance: Instance): void {
    const before = known?.engine?.membership;
    const after = instance.engine?.membership;
    const isSame = before?.group === after?.group &&
      before?.epoch === after?.epoch && before?.state === after?.state;
    if (!isSame && (before ?? after)?.rank === 0) {
      this.#logger.info("group_changed", {
        lead: instance.id,
        group: (after ?? before)?.group,
        epoch: (after ?? before)?.epoch,
        from: before?.state ?? "none",
        to: after?.state ?? "none",
      });
    }
  }

  #remove(id: string): void {
    if (this.#instances.delete(id)) {
      this.#logger.info("instance_gone", { instance: id });
    }
  }
}
