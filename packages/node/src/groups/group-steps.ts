/**
 * What the holder of a lease does for one group in each of its states.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { WeightStore } from "@zinniahill/clients";
import type {
  EngineStatus,
  GroupPhase,
  GroupState,
  Settings,
} from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Evidence } from "./evidence.ts";
import type { HeldLease } from "./leases.ts";
import type { Orders } from "./orders.ts";

/** Takes one step for a group. */
export type GroupStep = (
  group: GroupState,
  lease: HeldLease,
  signal: AbortSignal,
) => Promise<void>;

/**
 * A host that comes and goes without settling for this many absence limits is
 * replaced, as its group would otherwise never serve again.
 */
const UNSETTLED_LIMITS = 6;

/** The steps of groups, by state. */
export class GroupSteps {
  #clock: Clock;
  #settings: Settings;
  #weightStore: WeightStore;
  #state: ControlState;
  #evidence: Evidence;
  #orders: Orders;
  #grantRetryAt = new Map<string, number>();

  constructor(kernel: NodeKernel, orders: Orders) {
    this.#clock = kernel.find("clock");
    this.#settings = kernel.find("settings");
    this.#weightStore = kernel.find("weightStore");
    this.#state = kernel.find("state");
    this.#evidence = kernel.find("evidence");
    this.#orders = orders;
  }

  /** Steps by the state of the group. */
  readonly byPhase: { readonly [Phase in GroupPhase]: GroupStep } = {
    assigned: async ({ group }, lease, signal) => {
      await this.#orders.propose(
        { kind: "group-loading", group },
        lease,
        signal,
      );
    },
    loading: (group, lease, signal) => this.#load(group, lease, signal),
    ready: (group, lease, signal) => this.#keep(group, lease, signal),
    draining: (group, lease, signal) => this.#drain(group, lease, signal),
    retired: () => Promise.resolve(),
  };

  /** Orders the hosts to load, and declares the group ready once they serve. */
  async #load(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    if (await this.#giveUpIfLost(group, lease, signal)) {
      return;
    }
    const inRole = await Promise.all(
      group.hosts.map((host) =>
        this.#bringToRole(host, group, lease.fence, lease, signal)
      ),
    );
    if (inRole.every(Boolean) && this.#isHeardByLead(group)) {
      await this.#orders.propose(
        { kind: "group-ready", group: group.group },
        lease,
        signal,
      );
    }
  }

  /** Watches a ready group, and corrects hosts that have a wrong role. */
  async #keep(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    if (await this.#giveUpIfLost(group, lease, signal)) {
      return;
    }
    await Promise.all(
      group.hosts.map((host) =>
        this.#bringToRole(host, group, group.fence, lease, signal)
      ),
    );
  }

  /** Drains a group whose host is lost; resolves to whether one is. */
  async #giveUpIfLost(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!group.hosts.some((host) => this.#isLost(host))) {
      return false;
    }
    await this.#orders.propose(
      { kind: "group-draining", group: group.group },
      lease,
      signal,
    );
    return true;
  }

  #isLost(host: string): boolean {
    const absenceMs = this.#settings.timing["host-absence"];
    const { missingSince, unsettledSince } = this.#evidence.find(host);
    const now = this.#clock.now();
    const isOver = (since: number | undefined, limitMs: number) =>
      since !== undefined && now - since >= limitMs;
    return isOver(missingSince, absenceMs) ||
      isOver(unsettledSince, UNSETTLED_LIMITS * absenceMs);
  }

  /**
   * Gives a host the order that brings it nearer to serving the group, if it
   * needs one. Resolves to whether the host has confirmed its role.
   */
  async #bringToRole(
    host: string,
    group: GroupState,
    fence: number,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { status, seenAt = 0 } = this.#evidence.find(host);
    if (
      status === undefined || !this.#evidence.hasFreshStatus(host) ||
      !this.#orders.mayOrder(host, lease)
    ) {
      return false;
    }
    const ignoresFence = this.#state.rules?.unfencedHosts.has(host) ?? false;
    if (status.group !== group.group) {
      await this.#takeOver(status, group, lease, signal);
      return false;
    }
    const isServing = status.role === "serving";
    if (isServing && (ignoresFence || status.fence >= fence)) {
      // A role that was read before the wait ended may have been changed by
      // an order of an earlier holder since.
      return !ignoresFence || seenAt >= lease.unfencedFrom;
    }
    if (status.role !== "loading") {
      await this.#orders.send("serve", host, group, lease, signal);
    }
    return false;
  }

  /** Frees a host from a group that is gone, then loads this group on it. */
  async #takeOver(
    status: EngineStatus,
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    if (status.group !== "") {
      const gone = createGoneGroup(status);
      await this.#orders.send("unload", status.host, gone, lease, signal);
      return;
    }
    if (await this.#obtainGrant(status.host, group, signal)) {
      await this.#orders.send("load", status.host, group, lease, signal);
    }
  }

  async #obtainGrant(
    host: string,
    { model, version }: GroupState,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (this.#clock.now() < (this.#grantRetryAt.get(host) ?? 0)) {
      return false;
    }
    const grant = await this.#weightStore.requestGrant(
      { model, version, host },
      signal,
    );
    const retryMs = grant.isOk ? grant.value.retryAfterMs : 0;
    this.#grantRetryAt.set(host, this.#clock.now() + retryMs);
    return grant.isOk && grant.value.granted;
  }

  #isHeardByLead({ hosts }: GroupState): boolean {
    const limitMs = this.#settings.timing["probe-interval"];
    const [lead, ...members] = hosts;
    const ages = this.#evidence.find(lead!).status?.members ?? {};
    return members.every((member) => (ages[member] ?? Infinity) <= limitMs);
  }

  /**
   * Empties the group, unloads it, and retires it. The lead goes first: while
   * it has requests, no host of the group is unloaded.
   */
  async #drain(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const [lead, ...members] = group.hosts;
    if (group.hosts.some((host) => this.#isLost(host))) {
      await this.#retireBroken(group, lease, signal);
      return;
    }
    if (!await this.#unloadLead(lead!, group, lease, signal)) {
      return;
    }
    const unloaded = await this.#listUnloaded(members, group, lease, signal);
    if (unloaded.length === members.length) {
      await this.#retire(group, [lead!, ...unloaded], lease, signal);
    }
  }

  /**
   * Retires a group that has lost a host. It can serve nothing any more, so
   * the present hosts are unloaded at once and missing ones are not waited
   * for: each of them stays held until it has confirmed the unload.
   */
  async #retireBroken(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const [lead, ...members] = group.hosts;
    const [isLeadDone, unloaded] = await Promise.all([
      this.#unloadLead(lead!, group, lease, signal),
      this.#listUnloaded(members, group, lease, signal),
    ]);
    const isOpen = members.some((host) =>
      !unloaded.includes(host) && !this.#isMissing(host)
    );
    if (!isOpen) {
      const released = isLeadDone ? [lead!, ...unloaded] : unloaded;
      await this.#retire(group, released, lease, signal);
    }
  }

  #isMissing(host: string): boolean {
    return this.#evidence.find(host).missingSince !== undefined ||
      this.#isLost(host);
  }

  async #retire(
    { group }: GroupState,
    released: string[],
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#orders.propose(
      { kind: "group-retired", group, released },
      lease,
      signal,
    );
  }

  /** Unloads hosts in parallel; resolves to those that have confirmed it. */
  async #listUnloaded(
    hosts: readonly string[],
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<string[]> {
    const isDone = await Promise.all(
      hosts.map((host) => this.#unload(host, group, lease, signal)),
    );
    return hosts.filter((_host, index) => isDone[index]);
  }

  /** Resolves to whether the lead is empty and has confirmed the unload. */
  async #unloadLead(
    lead: string,
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { status } = this.#evidence.find(lead);
    if (status === undefined || !this.#evidence.hasFreshStatus(lead)) {
      return false;
    }
    if (status.group === group.group) {
      if (status.role === "serving") {
        await this.#orders.send("drain", lead, group, lease, signal);
        return false;
      }
      if (status.running + status.waiting > 0) {
        return false;
      }
    }
    return this.#unload(lead, group, lease, signal);
  }

  /** Resolves to whether the host has confirmed that it holds no group. */
  async #unload(
    host: string,
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { status } = this.#evidence.find(host);
    if (status === undefined || !this.#evidence.hasFreshStatus(host)) {
      return false;
    }
    const held = status.group === "" || status.group === group.group
      ? group
      : createGoneGroup(status);
    return await this.#orders.send("unload", host, held, lease, signal);
  }
}

/** Describes the group that a host reports, to order its unload. */
export function createGoneGroup(status: EngineStatus) {
  const { group, model, version, host } = status;
  return { group, model, version, hosts: [host] };
}
