/**
 * Asks the members of suspected groups, and ends groups that are not whole.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RelayKernel } from "../services.ts";
import { readDomain } from "./free-hosts.ts";
import type { GroupDissolver } from "./group-dissolver.ts";
import type { HolderElector } from "./holder-elector.ts";
import { type HostHealth, isSlowReport } from "./host-health.ts";
import { isMemberOf } from "./order-sender.ts";
import { PendingChecks } from "./pending-checks.ts";
import type { FreeHost } from "./plan.ts";

/** Time between two checks of the members of one suspected group. */
const RECHECK_MS = 400;

/** What checks need of the placement controller. */
export interface GroupCheckerContext {
  readonly health: HostHealth;
  readonly endings: GroupDissolver;
  /** Whether a task works on the group. */
  isBusy(group: Group): boolean;
  /** Runs a task on a group, one at a time. */
  run(group: Group, work: (signal: AbortSignal) => Promise<void>): void;
  /** Hosts of a service that belong to no group. */
  listFree(service: string): FreeHost[];
}

/** Checks groups while this node holds placement. */
export class GroupChecker {
  #clock: Clock;
  #logger: Logger;
  #configuration: CurrentConfiguration;
  #instances: Instances;
  #groups: Groups;
  #holder: HolderElector;
  #support: GroupCheckerContext;
  #pending: PendingChecks;
  #checkedAt = new Map<string, number>();

  constructor(kernel: RelayKernel, support: GroupCheckerContext) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#configuration = kernel.find("configuration");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#holder = kernel.find("holder");
    this.#support = support;
    this.#pending = new PendingChecks(this.#clock);
  }

  /** Checks a group now, or once this node gives the orders. */
  request(name: string, epoch: number): void {
    if (!this.#holder.isHolder) {
      this.#pending.put(name, epoch);
      return;
    }
    const group = this.#groups.find(name, epoch);
    const isDue = this.#clock.now() - (this.#checkedAt.get(name) ?? -Infinity) >
      RECHECK_MS;
    if (group === undefined || !isDue || this.#support.isBusy(group)) {
      return;
    }
    this.#checkedAt.set(name, this.#clock.now());
    this.#support.run(group, (signal) => this.#check(group, signal));
  }

  /** Checks the groups that were suspected while this node gave no orders. */
  requestPending(): void {
    this.#pending.take()
      .forEach(({ group, epoch }) => this.request(group, epoch));
  }

  dump(): unknown {
    return this.#pending.dump();
  }

  /** Ends a group of which a member is away, has left or is slow. */
  async #check(group: Group, signal: AbortSignal): Promise<void> {
    const size = this.#findSize(group);
    // A member that is only cut off from the store goes on working.
    const departed = this.#instances.listDeparted(group.name, group.epoch);
    const reports = await Promise.all(
      [...group.members, ...departed]
        .map((member) => this.#support.health.probe(member, signal)),
    );
    const present = reports.filter((report) =>
      isMemberOf(report?.engine.membership, group.name, group.epoch)
    );
    const isWhole = present.length === size;
    const slow = reports.filter((report) =>
      report !== undefined && isSlowReport(report)
    );
    const canReplace = slow.length > 0 && size !== undefined &&
      slow.length <= this.#countSpares(group);
    this.#logger.info("group_checked", {
      group: group.name,
      epoch: group.epoch,
      present: present.length,
      listed: group.members.length,
      departed: departed.length,
      expected: size,
      slow: slow.length,
      can_replace_slow: canReplace,
    });
    if (!isWhole || canReplace) {
      await this.#support.endings.dissolve(
        group,
        isWhole ? "a member is slow" : "a member is away",
        signal,
      );
    }
  }

  /** Hosts of a group of that model; undefined if it is not known. */
  #findSize({ service, model }: Group): number | undefined {
    const { engine } = this.#configuration.current?.services
      .find(({ name }) => name === service) ?? {};
    return engine?.models.find(({ name }) => name === model)?.hostCount;
  }

  /** Spares of the group's domain that can join without a load. */
  #countSpares({ service, model, lead }: Group): number {
    return this.#support.listFree(service).filter((host) =>
      host.fabricDomain === readDomain(lead) && !host.isSlow &&
      host.staged.includes(model)
    ).length;
  }
}
