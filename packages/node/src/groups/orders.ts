/**
 * Orders to engines and records of groups, under the lease of their scope.
 *
 * @module
 */
import type { Clock, Logger, Random } from "@zinniahill/kernel";
import type { Engines } from "@zinniahill/clients";
import type {
  ControlRecord,
  EngineOrder,
  GroupState,
  Settings,
} from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Evidence } from "./evidence.ts";
import type { Hosts } from "./hosts.ts";
import type { HeldLease, Leases } from "./leases.ts";

/** The parts of a group that an order names. */
export type OrderedGroup = Pick<
  GroupState,
  "group" | "model" | "version" | "hosts"
>;

type DistributiveOmit<Item, Key extends PropertyKey> = Item extends unknown
  ? Omit<Item, Key>
  : never;

/** A record without the fields that every fenced record shares. */
export type GroupRecord = DistributiveOmit<
  Extract<ControlRecord, { fence: number; scope: string }>,
  "id" | "node" | "scope" | "fence"
>;

/** Gives orders and proposes records; does nothing without the lease. */
export class Orders {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #engines: Engines;
  #state: ControlState;
  #hosts: Hosts;
  #evidence: Evidence;
  #leases: Leases;
  #settings: Settings;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#evidence = kernel.find("evidence");
    this.#leases = kernel.find("leases");
    this.#settings = kernel.find("settings");
  }

  /** Gives an order to one host; resolves to whether it confirmed the order. */
  async send(
    order: EngineOrder["order"],
    host: string,
    group: OrderedGroup,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const address = this.#hosts.findAddress(host);
    if (address === undefined) {
      return false;
    }
    const body = this.#createOrder(order, host, group, lease);
    const limitMs = this.#settings.timing["longest-order"];
    // The node may have been paused since it last looked at its lease, so the
    // deadline is checked with nothing awaited before the order is sent.
    if (!this.mayOrder(host, lease)) {
      return false;
    }
    const sentAt = this.#clock.now();
    const reply = await this.#engines.sendOrder(address, body, limitMs, signal);
    if (reply.isOk) {
      // Without this, the order would be repeated until the next probe.
      this.#evidence.noteStatus(host, reply.value, sentAt);
    }
    this.#logger.debug("engine_order", {
      order,
      host,
      group: group.group,
      fence: lease.fence,
      confirmed: reply.isOk,
    });
    return reply.isOk;
  }

  /**
   * Whether a host may be given orders under a lease now. An engine that
   * ignores the fencing number gets none while an earlier holder's orders may
   * still be under way.
   */
  mayOrder(host: string, lease: HeldLease): boolean {
    const ignoresFence = this.#state.rules?.unfencedHosts.has(host) ?? false;
    const isSettled = !ignoresFence || this.#clock.now() >= lease.unfencedFrom;
    return isSettled && this.#leases.isCurrent(lease);
  }

  /** Proposes a record; resolves to whether it was accepted. */
  async propose(
    record: GroupRecord,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!this.#leases.isCurrent(lease)) {
      return false;
    }
    const decision = await this.#state.propose({
      ...record,
      id: this.#random.id(),
      node: this.#settings.node.name,
      scope: lease.scope,
      fence: lease.fence,
    }, signal);
    const isAccepted = decision.isOk && decision.value.accepted;
    if (isAccepted) {
      this.#logger.info(record.kind.replaceAll("-", "_"), {
        ...("group" in record ? { group: record.group } : {}),
        ...("host" in record ? { host: record.host } : {}),
      });
    }
    return isAccepted;
  }

  #createOrder(
    order: EngineOrder["order"],
    host: string,
    group: OrderedGroup,
    lease: HeldLease,
  ): EngineOrder {
    const members = group.hosts.flatMap((member) => {
      const address = this.#hosts.findAddress(member);
      return address === undefined ? [] : [{ host: member, address }];
    });
    return {
      id: this.#random.id(),
      order,
      fence: lease.fence,
      group: group.group,
      model: group.model,
      version: group.version,
      hosts: members,
      rank: Math.max(0, group.hosts.indexOf(host)),
    };
  }
}
