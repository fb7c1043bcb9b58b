/**
 * The upstream instances that the store lists.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
} from "@zinniahill/kernel";
import type { Instance } from "../model/instance.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import type { RecordDecoder } from "../adapter.ts";
import type { RelayKernel } from "../services.ts";

/** An instance that the store lists no longer. */
interface Departed {
  readonly instance: Instance;
  readonly at: number;
}

/**
 * An instance that is only cut off from the store can be asked for this long.
 * It covers the cuts of the users' deployments, which take up to 10 s.
 */
const DEPARTED_MS = 30_000;

/** Called after each read with the records that said anything new. */
export type UpdateListener = (news: readonly KeyRecord[]) => void;

/** Knows every instance by id and by service. */
export class Instances implements Service {
  /** Notified after each change of the list. */
  readonly changed = new Condition();
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #instances = new Map<string, Instance>();
  #departed = new Map<string, Departed>();
  #newsListeners = new Set<UpdateListener>();
  #version = 0;
  #lastAddedAt = -Infinity;

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
  get lastAddedAt(): number {
    return this.#lastAddedAt;
  }

  /** Calls a listener after each read from now on. */
  onUpdate(listener: UpdateListener): void {
    this.#newsListeners.add(listener);
  }

  /** All instances that are listed. */
  list(): Instance[] {
    return [...this.#instances.values()];
  }

  /** Instances of a service that are listed and not leaving. */
  listAvailable(service: string): Instance[] {
    return this.list().filter((instance) =>
      instance.service === service && !instance.isDraining
    );
  }

  /** The instance of that id, if it is listed. */
  find(id: string): Instance | undefined {
    return this.#instances.get(id);
  }

  /** Members of a group that were listed lately and had not begun to leave. */
  listDeparted(group: string, epoch: number): Instance[] {
    return [...this.#departed.values()]
      .map(({ instance }) => instance)
      .filter(({ engine, isDraining }) =>
        engine?.membership?.group === group &&
        engine.membership.epoch === epoch && !isDraining
      );
  }

  dump(): unknown {
    return { listed: this.list(), departed: [...this.#departed.values()] };
  }

  #apply(records: readonly KeyRecord[]): void {
    // Most records only renew an entry.
    const news = records.filter(({ key, value }) =>
      value === undefined ? this.#remove(key) : this.#update(key, value)
    );
    if (news.length > 0) {
      this.#version++;
      this.changed.notify();
    }
    this.#newsListeners.forEach((listener) => listener(news));
  }

  /** Takes an entry; the result is whether it says anything new. */
  #update(id: string, value: string): boolean {
    return this.#decoder.instance(id, value).match({
      Ok: (instance) => this.#put(instance),
      Err: (error) => {
        this.#logger.warn("instance_unreadable", { instance: id, error });
        return false;
      },
    });
  }

  #put(instance: Instance): boolean {
    const known = this.#instances.get(instance.id);
    if (isDeepStrictEqual(known, instance)) {
      return false;
    }
    this.#instances.set(instance.id, instance);
    this.#departed.delete(instance.id);
    if (known === undefined) {
      this.#lastAddedAt = this.#clock.now();
      this.#logger.info("instance_listed", {
        instance: instance.id,
        service: instance.service,
        address: instance.address,
      });
    } else if (known.isDraining !== instance.isDraining) {
      this.#logger.info("instance_draining", { instance: instance.id });
    }
    this.#logMembership(known, instance);
    return true;
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

  #remove(id: string): boolean {
    const instance = this.#instances.get(id);
    if (instance === undefined) {
      return false;
    }
    this.#instances.delete(id);
    this.#noteDeparture(instance);
    this.#logger.info("instance_gone", { instance: id });
    return true;
  }

  #noteDeparture(instance: Instance): void {
    const now = this.#clock.now();
    for (const [id, { at }] of this.#departed) {
      if (now - at >= DEPARTED_MS) {
        this.#departed.delete(id);
      }
    }
    this.#departed.set(instance.id, { instance, at: now });
  }
}
