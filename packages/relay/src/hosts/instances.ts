/**
 * Upstream instances that are listed in the store.
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
import type { Feeds } from "../feeds/feeds.ts";
import type { ServiceProfile } from "../model/configuration.ts";
import type { Instance, Membership, MemberState } from "../model/instance.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import type { RecordDecoder } from "../adapter.ts";
import { dropOldest } from "../drop-oldest.ts";
import type { RelayKernel } from "../services.ts";
import { fitsService } from "./service-fit.ts";
import { UnfitEntries } from "./unfit-entries.ts";

/** An instance that is no longer listed. */
interface DepartedInstance {
  readonly instance: Instance;
  readonly at: number;
}

/**
 * How long an unlisted instance is remembered: it may only be cut off from the
 * store and still answer. Covers partitions in the users' deployments, which
 * last up to 10 s.
 */
const DEPARTED_RETENTION_MS = 30_000;
/** Of more entries that are read at once only the sum is logged. */
const MAX_LOGGED_AT_ONCE = 10;
/** More than the instances of any deployment that leave in a day. */
const MAX_LEAVING = 10_000;

const SERVING_STATES: ReadonlySet<MemberState> = new Set([
  "open",
  "closing",
  "broken",
]);

/** Called after each read with the records whose content is new. */
export type UpdateListener = (changes: readonly KeyRecord[]) => void;

/**
 * Called when an instance is listed or its entry changes, with what was known
 * of it before, also from before it was unlisted.
 */
export type InstanceListener = (
  instance: Instance,
  previous: Instance | undefined,
) => void;

/**
 * Tracks the listed instances. Entries that fit no service of the configuration
 * in force are kept apart, as a later configuration may name their service.
 */
export class Instances implements Service {
  /** Notified after each change of the list. */
  readonly changed = new Condition();
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #instances = new Map<string, Instance>();
  #unfit: UnfitEntries;
  #services: readonly ServiceProfile[] | undefined;
  #departed = new Map<string, DepartedInstance>();
  /** Entries as last read, without the count that renewals change. */
  #entries = new Map<string, string>();
  /**
   * Start times of the processes that have said in a response that they leave,
   * by id. The store may list them as ready for some time.
   */
  #leaving = new Map<string, number>();
  #updateListeners = new Set<UpdateListener>();
  #instanceListeners = new Set<InstanceListener>();
  #version = 0;
  #lastAddedAt = -Infinity;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#decoder = kernel.find("decoder");
    this.#unfit = new UnfitEntries(this.#clock);
    const feeds: Feeds = kernel.find("feeds");
    feeds.onChange("instances", (records) => this.#apply(records));
    kernel.find("configuration").onChange(({ services }) => {
      feeds.useServices(services);
      this.#useServices(services);
    });
  }

  /** Increases with each change of the list. */
  get version(): number {
    return this.#version;
  }

  /** When an instance was last added to the list. */
  get lastAddedAt(): number {
    return this.#lastAddedAt;
  }

  /** Registers a listener that is called after each read. */
  onUpdate(listener: UpdateListener): void {
    this.#updateListeners.add(listener);
  }

  /** Registers a listener for each instance whose state changes. */
  onInstance(listener: InstanceListener): void {
    this.#instanceListeners.add(listener);
  }

  /** Lists all instances. */
  list(): Instance[] {
    return [...this.#instances.values()];
  }

  /** Lists the instances of a service that are not draining. */
  listAvailable(service: string): Instance[] {
    return this.list().filter((instance) =>
      instance.service === service && !instance.isDraining
    );
  }

  /** Returns the instance with the given id, if it is listed. */
  find(id: string): Instance | undefined {
    return this.#instances.get(id);
  }

  /**
   * Whether there is an entry under an id, readable or not. One of another
   * writer may stand there until the instance renews its own.
   */
  hasEntry(id: string): boolean {
    return this.#entries.has(id);
  }

  /** Whether an entry of another writer may hide that of an instance. */
  get isAwaitingRenewal(): boolean {
    return this.#unfit.isAwaitingRenewal;
  }

  /**
   * Treats an instance as draining from now on, as it has said itself that it
   * leaves. A later process with the same id is in use again.
   */
  markLeaving({ id, bornAt }: Instance): void {
    const listed = this.#instances.get(id);
    if (this.#leaving.get(id) === bornAt) {
      return;
    }
    this.#leaving.set(id, bornAt);
    dropOldest(this.#leaving, MAX_LEAVING);
    this.#logger.info("instance_leaving", { instance: id, born_at: bornAt });
    if (listed?.bornAt === bornAt && !listed.isDraining) {
      this.#put(listed);
      this.#notifyChanged();
    }
  }

  /** Lists recently unlisted members of a group that were not draining. */
  listDeparted(group: string, epoch: number): Instance[] {
    return [...this.#departed.values()]
      .map(({ instance }) => instance)
      .filter(({ engine, isDraining }) =>
        engine?.membership?.group === group &&
        engine.membership.epoch === epoch && !isDraining
      );
  }

  /** Lists the instances of a service that were unlisted without draining. */
  listDepartedSince(service: string, withinMs: number): Instance[] {
    const since = this.#clock.now() - withinMs;
    return [...this.#departed.values()]
      .filter(({ instance, at }) =>
        at >= since && instance.service === service && !instance.isDraining
      )
      .map(({ instance }) => instance);
  }

  dump(): unknown {
    return {
      listed: this.list(),
      departed: [...this.#departed.values()],
      leaving: [...this.#leaving.keys()],
      unfit: this.#unfit.list(),
    };
  }

  /** Judges all entries again. */
  #useServices(services: readonly ServiceProfile[]): void {
    this.#services = services;
    const isUnfit = (instance: Instance) => !fitsService(instance, services);
    const unfit = this.list().filter(isUnfit);
    const fit = this.#unfit.list().filter((entry) => !isUnfit(entry));
    for (const instance of unfit) {
      this.#instances.delete(instance.id);
      this.#unfit.record(instance.id, instance);
    }
    fit.forEach((instance) => this.#put(instance, true));
    if (unfit.length + fit.length > 0) {
      this.#logger.info("instances_judged", {
        listed: fit.length,
        unlisted: unfit.length,
        instances: this.#instances.size,
      });
      this.#notifyChanged();
    }
  }

  #apply(records: readonly KeyRecord[]): void {
    const countBefore = this.#instances.size;
    const isBulk = records.length > MAX_LOGGED_AT_ONCE;
    let hasChanged = false;
    // Most records renew an entry without changing it. Peers also need those
    // that say only what a response to this node has said before.
    const news = records.filter(({ key, value }) => {
      if (value === undefined) {
        const isRemoved = this.#remove(key);
        hasChanged ||= isRemoved;
        return isRemoved;
      }
      const instance = this.#decodeNews(key, value);
      if (instance === undefined) {
        return false;
      }
      hasChanged = this.#put(instance, isBulk) || hasChanged;
      return true;
    });
    if (isBulk && this.#instances.size !== countBefore) {
      this.#logger.info("instances_listed", {
        instances: this.#instances.size,
        before: countBefore,
      });
    }
    if (hasChanged) {
      this.#notifyChanged();
    }
    this.#updateListeners.forEach((listener) => listener(news));
  }

  #notifyChanged(): void {
    this.#version++;
    this.changed.notify();
  }

  /** Decodes an entry whose content is new and readable. */
  #decodeNews(id: string, value: string): Instance | undefined {
    const entry = this.#decoder.removeRenewalCount(value);
    if (this.#entries.get(id) === entry) {
      return undefined;
    }
    this.#entries.set(id, entry);
    return this.#decoder.instance(id, value).match({
      Ok: (instance): Instance | undefined => instance,
      Err: (error) => {
        this.#logger.warn("instance_unreadable", { instance: id, error });
        if (!this.#instances.has(id)) {
          this.#unfit.record(id, undefined);
        }
        return undefined;
      },
    });
  }

  /** Lists an instance and returns whether this changed anything. */
  #put(listed: Instance, isBulk = false): boolean {
    if (!fitsService(listed, this.#services)) {
      this.#recordUnfit(listed);
      return false;
    }
    this.#unfit.delete(listed.id);
    const isLeaving = this.#leaving.get(listed.id) === listed.bornAt;
    const instance = isLeaving ? { ...listed, isDraining: true } : listed;
    const previous = this.#instances.get(instance.id);
    if (isDeepStrictEqual(previous, instance)) {
      return false;
    }
    const lastKnown = previous ?? this.#departed.get(instance.id)?.instance;
    this.#instances.set(instance.id, instance);
    this.#departed.delete(instance.id);
    this.#instanceListeners.forEach((listener) =>
      listener(instance, lastKnown)
    );
    if (previous === undefined) {
      this.#lastAddedAt = this.#clock.now();
      if (!isBulk) {
        this.#logger.info("instance_listed", {
          instance: instance.id,
          service: instance.service,
          address: instance.address,
        });
      }
    } else if (previous.isDraining !== instance.isDraining) {
      this.#logger.info("instance_draining", { instance: instance.id });
    }
    this.#logMembership(previous, instance);
    return true;
  }

  /** An entry that names no upstream changes nothing of an instance. */
  #recordUnfit(entry: Instance): void {
    const { id, service } = entry;
    const isListed = this.#instances.has(id);
    if (!isListed) {
      this.#unfit.record(id, entry);
    }
    this.#logger.warn("instance_unfit", {
      instance: id,
      service,
      is_listed: isListed,
    });
  }

  #logMembership(previous: Instance | undefined, instance: Instance): void {
    const before = previous?.engine?.membership;
    const after = instance.engine?.membership;
    const isUnchanged = before?.group === after?.group &&
      before?.epoch === after?.epoch && before?.state === after?.state;
    // The holder logs the steps until a group opens.
    const isLogged = isServingState(before) || isServingState(after);
    if (!isUnchanged && isLogged && (before ?? after)?.rank === 0) {
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
    this.#entries.delete(id);
    this.#unfit.delete(id);
    const instance = this.#instances.get(id);
    if (instance === undefined) {
      return false;
    }
    this.#instances.delete(id);
    this.#recordDeparture(instance);
    this.#logger.info("instance_gone", { instance: id });
    return true;
  }

  #recordDeparture(instance: Instance): void {
    const now = this.#clock.now();
    for (const [id, { at }] of this.#departed) {
      if (now - at >= DEPARTED_RETENTION_MS) {
        this.#departed.delete(id);
      }
    }
    this.#departed.set(instance.id, { instance, at: now });
  }
}

/** Whether a lead in this state has or may have requests. */
function isServingState(membership: Membership | undefined): boolean {
  return membership !== undefined && SERVING_STATES.has(membership.state);
}
