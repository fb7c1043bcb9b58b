/**
 * Groups of hosts, derived from the state that their members report.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import {
  type Instance,
  isEndpointAddress,
  type MemberState,
} from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { Instances } from "./instances.ts";

/** A group as reported by its listed members. */
export interface Group {
  readonly name: string;
  readonly epoch: number;
  readonly service: string;
  readonly model: string;
  /** Listed members, ordered by rank. */
  readonly members: readonly Instance[];
  /** The member of rank 0, if it is listed. */
  readonly lead: Instance | undefined;
  /** The lead's state; undefined without a lead. */
  readonly state: MemberState | undefined;
}

/** Separates the parts of a group's name. */
const NAME_SEPARATOR = "~";
/** Last part of the name of a group that never opens. */
const WARMING = "warming";
/** With fewer unsuspected groups of a model, all of them are used. */
const MIN_UNSUSPECTED_SHARE = 0.5;
/** A few groups may well fail together, as those of one fabric domain. */
const MIN_GROUPS_IN_OVERLOAD = 8;
/** A suspicion without new evidence expires after this time. */
const SUSPICION_MS = 1500;

/** Id and address of an instance, whether it is listed or not. */
export type InstanceEndpoint = Pick<Instance, "id" | "address">;

/**
 * Encodes model and lead in a group's name, so that the model is known while
 * members are still loading, and the lead after it is no longer listed.
 */
export function createGroupName(
  model: string,
  epoch: number,
  { id, address }: InstanceEndpoint,
): string {
  return [model, epoch, id, address].join(NAME_SEPARATOR);
}

/** Creates the name of a group in which a spare only loads weights. */
export function createWarmingName(
  model: string,
  epoch: number,
  spare: InstanceEndpoint,
): string {
  return [createGroupName(model, epoch, spare), WARMING].join(NAME_SEPARATOR);
}

/** Whether a group's name is that of a spare that loads weights. */
export function isWarmingName(name: string): boolean {
  return name.endsWith(`${NAME_SEPARATOR}${WARMING}`);
}

/** Returns the model that is encoded in a group's name. */
export function parseGroupModel(name: string): string {
  return name.split(NAME_SEPARATOR)[0]!;
}

/**
 * Returns the lead that is encoded in a group's name; undefined if the name has
 * another format.
 */
export function parseGroupLead(name: string): InstanceEndpoint | undefined {
  const [, , id, address] = name.split(NAME_SEPARATOR);
  return id === undefined || address === undefined ||
      !isEndpointAddress(address)
    ? undefined
    : { id, address };
}

/** Returns a key that identifies a group on all nodes. */
export function createGroupKey(name: string, epoch: number): string {
  return `${name}/${epoch}`;
}

/** Derives groups from the listed instances and tracks suspected groups. */
export class Groups implements Service {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #groups = new Map<string, Group>();
  #servableGroups = new Map<string, Group[]>();
  #version = -1;
  #suspectedUntil = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
  }

  /** Lists all groups with a listed member. */
  list(): Group[] {
    this.#refresh();
    return [...this.#groups.values()];
  }

  /**
   * Lists the groups of a model that have formed, suspected or not. Other than
   * suspicions, these are the same on all nodes.
   */
  listOpen(service: string, model: string): readonly Group[] {
    this.#refresh();
    return this.#servableGroups.get(`${service} ${model}`) ?? [];
  }

  /**
   * Lists the groups of a model that can take requests and that a filter
   * allows. If most of them are suspected, an overload is more likely than their
   * failure, and the others could not take their requests.
   */
  listServable(
    service: string,
    model: string,
    isAllowed: (group: Group) => boolean = () => true,
  ): readonly Group[] {
    const groups = this.listOpen(service, model).filter(isAllowed);
    const unsuspected = groups.filter((group) => !this.isSuspected(group));
    const isOverload = groups.length >= MIN_GROUPS_IN_OVERLOAD &&
      unsuspected.length < groups.length * MIN_UNSUSPECTED_SHARE;
    return isOverload ? groups : unsuspected;
  }

  /** Returns the group of that name and epoch, if it has a listed member. */
  find(name: string, epoch: number): Group | undefined {
    this.#refresh();
    return this.#groups.get(createGroupKey(name, epoch));
  }

  /** Marks a group as suspected of being broken for some time. */
  suspect(name: string, epoch: number, source: string): void {
    const key = createGroupKey(name, epoch);
    if (!this.#isSuspected(key)) {
      this.#logger.warn("group_suspected", { group: name, epoch, source });
    }
    this.#suspectedUntil.set(key, this.#clock.now() + SUSPICION_MS);
  }

  /** Clears a suspicion after the group has made progress. */
  clearSuspicion(name: string, epoch: number): void {
    if (this.#suspectedUntil.delete(createGroupKey(name, epoch))) {
      this.#logger.info("group_suspicion_cleared", { group: name, epoch });
    }
  }

  /** Whether a group is suspected of being broken. */
  isSuspected({ name, epoch }: Pick<Group, "name" | "epoch">): boolean {
    return this.#isSuspected(createGroupKey(name, epoch));
  }

  dump(): unknown {
    return this.list().map((group) => ({
      name: group.name,
      epoch: group.epoch,
      state: group.state,
      lead: group.lead?.id,
      members: group.members.map(({ id }) => id),
      isSuspected: this.isSuspected(group),
    }));
  }

  #isSuspected(key: string): boolean {
    const until = this.#suspectedUntil.get(key);
    return until !== undefined && this.#clock.now() < until;
  }

  #refresh(): void {
    if (this.#version === this.#instances.version) {
      return;
    }
    this.#version = this.#instances.version;
    this.#groups = collectGroups(this.#instances.list());
    this.#servableGroups = new Map();
    for (const group of this.#groups.values()) {
      if (isOpen(group)) {
        const key = `${group.service} ${group.model}`;
        this.#servableGroups.set(key, [
          ...this.#servableGroups.get(key) ?? [],
          group,
        ]);
      }
    }
    for (const key of this.#suspectedUntil.keys()) {
      if (!this.#groups.has(key)) {
        this.#suspectedUntil.delete(key);
      }
    }
  }
}

/** A group with a draining member ends soon and takes no new requests. */
function isOpen({ state, members }: Group): boolean {
  return state === "open" && members.every(({ isDraining }) => !isDraining);
}

function collectGroups(instances: readonly Instance[]): Map<string, Group> {
  const members = new Map<string, Instance[]>();
  for (const instance of instances) {
    const membership = instance.engine?.membership;
    if (membership !== undefined) {
      const key = createGroupKey(membership.group, membership.epoch);
      members.set(key, [...members.get(key) ?? [], instance]);
    }
  }
  return new Map(
    [...members].map(([key, listed]) => [key, createGroup(listed)]),
  );
}

function createGroup(listed: readonly Instance[]): Group {
  const getRank = (instance: Instance) => instance.engine!.membership!.rank;
  const sorted = [...listed].sort((a, b) => getRank(a) - getRank(b));
  const { group, epoch } = sorted[0]!.engine!.membership!;
  const named = parseGroupLead(group);
  const lead = sorted.find((member) =>
    getRank(member) === 0 && (named === undefined || member.id === named.id)
  );
  const { service } = lead ?? sorted[0]!;
  const members = sorted.filter((member) => member.service === service);
  return {
    name: group,
    epoch,
    service,
    model: parseGroupModel(group),
    members,
    lead,
    state: lead?.engine?.membership?.state,
  };
}
