/**
 * The keeping of groups: what the holder of a data centre's lease does.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { Engines, WeightStore } from "@zinniahill/platform";
import { placeGroup } from "@zinniahill/policy";
import type {
  ControlRecord,
  EngineOrder,
  GroupPhase,
  GroupState,
  Host,
  ModelRule,
  Settings,
} from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Evidence } from "./evidence.ts";
import type { Hosts } from "./hosts.ts";
import { createScope, type HeldLease, type Leases } from "./leases.ts";

const ROUND_INTERVAL_MS = 250;

type PhaseHandler = (
  group: GroupState,
  lease: HeldLease,
  signal: AbortSignal,
) => Promise<void>;

/** Forms, loads, drains and retires groups of the scopes that are held. */
export class Keeper implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #settings: Settings;
  #engines: Engines;
  #weightStore: WeightStore;
  #state: ControlState;
  #hosts: Hosts;
  #evidence: Evidence;
  #leases: Leases;
  #tasks: TaskGroup;
  #kept = new Set<string>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#settings = kernel.find("settings");
    this.#engines = kernel.find("engines");
    this.#weightStore = kernel.find("weightStore");
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#evidence = kernel.find("evidence");
    this.#leases = kernel.find("leases");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tasks.repeat("watch_leases", ROUND_INTERVAL_MS, () => {
      for (const { scope } of this.#leases.listHeld()) {
        this.#keep(scope);
      }
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { kept: [...this.#kept] };
  }

  #keep(scope: string): void {
    if (this.#kept.has(scope)) {
      return;
    }
    this.#kept.add(scope);
    this.#tasks.run("keep_scope", async (signal) => {
      try {
        for (
          let lease = this.#leases.findHeld(scope);
          lease !== undefined;
          lease = this.#leases.findHeld(scope)
        ) {
          await this.#runRound(lease, signal);
          await this.#clock.sleep(ROUND_INTERVAL_MS, signal);
        }
      } finally {
        this.#kept.delete(scope);
      }
    });
  }

  async #runRound(lease: HeldLease, signal: AbortSignal): Promise<void> {
    const groups = [...this.#state.control.groups.values()]
      .filter(({ scope }) => scope === lease.scope);
    await Promise.all(
      groups.map((group) => this.#steps[group.phase](group, lease, signal)),
    );
    await this.#formGroups(lease, signal);
  }

  readonly #steps: { readonly [Phase in GroupPhase]: PhaseHandler } = {
    assigned: async (group, lease, signal) => {
      await this.#record("group-loading", group, lease, signal);
    },
    loading: (group, lease, signal) => this.#load(group, lease, signal),
    ready: (group, lease, signal) => this.#watch(group, lease, signal),
    draining: (group, lease, signal) => this.#drain(group, lease, signal),
    retired: () => Promise.resolve(),
  };

  async #load(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const ready = await Promise.all(group.hosts.map(async (host, rank) => {
      const status = this.#evidence.find(host).status;
      if (status?.group === group.group) {
        return status.role === "serving";
      }
      const { model, version } = group;
      const grant = await this.#weightStore.requestGrant(
        { model, version, host },
        signal,
      );
      if (grant.isOk && grant.value.granted) {
        await this.#order("load", host, rank, group, lease, signal);
      }
      return false;
    }));
    if (ready.every(Boolean)) {
      await this.#record("group-ready", group, lease, signal);
    }
  }

  async #watch(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const absenceMs = this.#settings.timing["host-absence"];
    const now = this.#clock.now();
    const lost = group.hosts.filter((host) => {
      const since = this.#evidence.find(host).missingSince;
      return since !== undefined && now - since > absenceMs;
    });
    if (lost.length > 0) {
      await this.#record("group-draining", group, lease, signal);
    }
  }

  async #drain(
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const released: string[] = [];
    for (const [rank, host] of group.hosts.entries()) {
      if (await this.#order("unload", host, rank, group, lease, signal)) {
        released.push(host);
      }
    }
    const node = this.#settings.node.name;
    await this.#state.propose({
      kind: "group-retired",
      id: this.#random.id(),
      node,
      scope: lease.scope,
      fence: lease.fence,
      group: group.group,
      released,
    }, signal);
  }

  async #formGroups(lease: HeldLease, signal: AbortSignal): Promise<void> {
    for (const model of this.#state.rules?.models.values() ?? []) {
      const count = [...this.#state.control.groups.values()]
        .filter((group) =>
          group.model === model.name && group.phase !== "draining"
        ).length;
      if (count < model.replicas) {
        await this.#formGroup(model, lease, signal);
      }
    }
  }

  async #formGroup(
    model: ModelRule,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const free = [...this.#hosts.all.values()].filter((host) =>
      createScope(host.dataCentre) === lease.scope && this.#isUsable(host)
    );
    const placed = placeGroup(model, free);
    if (placed === undefined) {
      return;
    }
    const group = `${model.name}-${this.#random.id().slice(0, 8)}`;
    const decision = await this.#state.propose({
      kind: "group-assigned",
      id: this.#random.id(),
      node: this.#settings.node.name,
      scope: lease.scope,
      fence: lease.fence,
      group,
      model: model.name,
      version: model.version,
      hosts: placed.hosts.map(({ host }) => host),
      fabricDomain: placed.fabricDomain,
      dataCentre: placed.dataCentre,
    }, signal);
    if (decision.isOk && decision.value.accepted) {
      this.#logger.info("group_assigned", { group, model: model.name });
    }
  }

  #isUsable(host: Host): boolean {
    return host.state === "live" && this.#state.control.isFree(host.host) &&
      !this.#state.control.drainedHosts.has(host.host);
  }

  async #order(
    order: EngineOrder["order"],
    host: string,
    rank: number,
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const address = this.#hosts.all.get(host)?.address;
    if (
      address === undefined || this.#leases.findHeld(lease.scope) === undefined
    ) {
      return false;
    }
    const reply = await this.#engines.order(
      address,
      {
        id: this.#random.id(),
        order,
        fence: lease.fence,
        group: group.group,
        model: group.model,
        version: group.version,
        hosts: group.hosts.map((member) => ({
          host: member,
          address: this.#hosts.all.get(member)?.address ?? address,
        })),
        rank,
      },
      this.#settings.timing["longest-order"],
      signal,
    );
    return reply.isOk;
  }

  async #record(
    kind: "group-loading" | "group-ready" | "group-draining",
    group: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const record: ControlRecord = {
      kind,
      id: this.#random.id(),
      node: this.#settings.node.name,
      scope: lease.scope,
      fence: lease.fence,
      group: group.group,
    };
    const decision = await this.#state.propose(record, signal);
    if (decision.isOk && decision.value.accepted) {
      this.#logger.info(kind.replace("-", "_"), { group: group.group });
    }
  }
}
