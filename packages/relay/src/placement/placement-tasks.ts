/**
 * Tasks on groups and hosts, each of which is in one task at most.
 *
 * @module
 */
import { describeError, type Logger, TaskGroup } from "@zinniahill/kernel";
import type { Group } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { RelayKernel } from "../services.ts";
import type { EvacuatedHosts } from "./evacuated-hosts.ts";
import type { FormingGroup } from "./group-former.ts";
import type { HostHealth } from "./host-health.ts";

/** Runs tasks and tells which groups and hosts they are on. */
export class PlacementTasks {
  #logger: Logger;
  #instances: Instances;
  #evacuatedHosts: EvacuatedHosts;
  #health: HostHealth;
  #tasks: TaskGroup;
  #busyGroups = new Set<string>();
  #busyHosts = new Set<string>();
  #forming = new Map<string, FormingGroup>();

  constructor(
    kernel: RelayKernel,
    evacuatedHosts: EvacuatedHosts,
    health: HostHealth,
  ) {
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#evacuatedHosts = evacuatedHosts;
    this.#health = health;
    this.#tasks = new TaskGroup(kernel.find("clock"), this.#logger);
  }

  /** Hosts with a formation in progress. */
  get busyHosts(): ReadonlySet<string> {
    return this.#busyHosts;
  }

  /** Groups that are being formed, by name. */
  get forming(): ReadonlyMap<string, FormingGroup> {
    return this.#forming;
  }

  /** Whether a task on the group is in progress. */
  isBusy({ name }: Pick<Group, "name">): boolean {
    return this.#busyGroups.has(name);
  }

  /** Runs a task that no group or host is occupied by. */
  run(name: string, work: (signal: AbortSignal) => Promise<void>): void {
    this.#tasks.run(name, work);
  }

  /** Runs work in intervals. */
  repeat(name: string, intervalMs: number, work: () => Promise<void>): void {
    this.#tasks.repeat(name, intervalMs, work);
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Runs a formation, whose hosts are busy until it ends. */
  runFormation(
    forming: FormingGroup,
    work: (signal: AbortSignal) => Promise<void>,
  ): void {
    const { name, epoch, members } = forming;
    this.#forming.set(name, forming);
    members.forEach((id) => this.#busyHosts.add(id));
    this.#tasks.run(`form_${name}`, async (signal) => {
      try {
        await this.#evacuatedHosts.runUntilEvacuated(members, signal, work);
      } catch (failure) {
        this.#logger.warn("group_formation_failed", {
          group: name,
          epoch,
          error: describeError(failure),
        });
        await this.#health.probeAll(members, signal);
      } finally {
        this.#forming.delete(name);
        members.forEach((id) => this.#busyHosts.delete(id));
        this.#instances.changed.notify();
      }
    });
  }

  /** Runs a task on a group, which is busy until the task ends. */
  runGroup(
    group: Group,
    name: string,
    work: (signal: AbortSignal) => Promise<void>,
  ): void {
    this.#busyGroups.add(group.name);
    this.#tasks.run(`${name}_${group.name}`, async (signal) => {
      try {
        await work(signal);
      } catch (failure) {
        this.#logger.warn("group_task_failed", {
          task: name,
          group: group.name,
          error: describeError(failure),
        });
      } finally {
        this.#busyGroups.delete(group.name);
        this.#instances.changed.notify();
      }
    });
  }

  dump(): object {
    return {
      forming: [...this.#forming.keys()],
      busyHosts: [...this.#busyHosts],
    };
  }
}
