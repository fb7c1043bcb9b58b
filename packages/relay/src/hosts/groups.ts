/**
 * Groups of hosts, as their members describe themselves.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import type { Instance, MemberState } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { Instances } from "./instances.ts";

/** A group as far as its listed members show it. */
export interface Group {
  readonly name: string;
  readonly epoch: number;
  readonly service: string;
  readonly model: string;
  /** Listed members, by rank. */
  readonly members: readonly Instance[];
  /** The member of rank 0, if it is listed. */
  readonly lead: Instance | undefined;
  /** The lead's state; undefined without a lead. */
  readonly state: MemberState | undefined;
}

/** Separates the parts of a group's name. */
const NAME_SEPARATOR = "~";
/** A suspicion without new evidence is dropped after this time. */
const SUSPICION_MS = 1500;

/** Where an instance is reached, whether it is listed or not. */
export type InstanceEndpoint = Pick<Instance, "id" | "address">;

/**
 * A group's name says its model, also while members are still loading, and its
 * lead, also when the store no longer lists it.
 */
export function createGroupName(
  model: string,
  epoch: number,
  { id, address }: InstanceEndpoint,
): string {
  return [model, epoch, id, address].join(NAME_SEPARATOR);
}

/** The model that a group's name stands for. */
export function parseGroupModel(name: string): string {
  return name.split(NAME_SEPARATOR)[0]!;
}

/** The lead that a group's name says; undefined in a name of another form. */
export function parseGroupLead(name: string): InstanceEndpoint | undefined {
  const [, , id, address] = name.split(NAME_SEPARATOR);
  return id === undefined || address === undefined
    ? undefined
    : { id, address };
}

/** Identifies a group over all nodes. */
export function createGroupKey(name: string, epoch: number): string {
  return `${name}/${epoch}`;
}

/** Derives the groups from the instances, and holds which are suspected. */
export class Groups implements Service {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #groups = new Map<string, Group>();
  #servable = new Map<string, Group[]>();
  #version = -1;
  #suspectedUntil = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
  }

  /** All groups that a listed instance belongs to. */
  list(): Group[] {
    this.#refresh();
    return [...this.#groups.values()];
  }

  /** Groups of a model that may be given requests. */
  listServable(service: string, model: string): Group[] {
    this.#refresh();
    const groups = this.#servable.get(`${service} ${model}`) ?? [];
    return groups.filter((group) => !this.isSuspected(group));
  }

  /** The group that an instance leads, if it may be given requests. */
  find(name: string, epoch: number): Group | undefined {
    this.#refresh();
    return this.#groups.get(createGroupKey(name, epoch));
  }

  /** Holds a group for broken for some time. */
  suspect(name: string, epoch: number, source: string): void {
    const key = createGroupKey(name, epoch);
    if (!this.#isSuspected(key)) {
      this.#logger.warn("group_suspected", { group: name, epoch, source });
    }
    this.#suspectedUntil.set(key, this.#clock.now() + SUSPICION_MS);
  }

  /** Drops a suspicion, as the group has shown progress. */
  clearSuspicion(name: string, epoch: number): void {
    if (this.#suspectedUntil.delete(createGroupKey(name, epoch))) {
      this.#logger.info("group_suspicion_cleared", { group: name, epoch });
    }
  }

  /** Whether a group is held for broken. */
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
    this.#servable = new Map();
    for (const group of this.#groups.values()) {
      if (isOpen(group)) {
        const key = `${group.service} ${group.model}`;
        this.#servable.set(key, [...this.#servable.get(key) ?? [], group]);
      }
    }
    for (const key of this.#suspectedUntil.keys()) {
      if (!this.#groups.has(key)) {
        this.#suspectedUntil.delete(key);
      }
    }
  }
}

/** A group with a leaving member ends soon and is given nothing new. */
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
  const rankOf = (instance: Instance) => instance.engine!.membership!.rank;
  const members = [...listed].sort((a, b) => rankOf(a) - rankOf(b));
  const { group, epoch } = members[0]!.engine!.membership!;
  const lead = rankOf(members[0]!) === 0 ? members[0] : undefined;
  return {
    name: group,
    epoch,
    service: members[0]!.service,
    model: parseGroupModel(group),
    members,
    lead,
    state: lead?.engine?.membership?.state,
  };
}
