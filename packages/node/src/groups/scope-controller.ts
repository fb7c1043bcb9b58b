/**
 * What the holder of a lease does for its scope as a whole: forms groups,
 * replaces groups that have to go, and releases hosts of retired groups.
 *
 * @module
 */
import type { Clock, Random } from "@zinniahill/kernel";
import type { Engines } from "@zinniahill/clients";
import {
  type Departure,
  isDrainDue,
  listReplicas,
  listSurplusGroups,
  type PlacedGroup,
  placeReplacement,
  planGroups,
  type PlanInput,
} from "@zinniahill/policy";
import type { GroupState, Host, ModelRule, Settings } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Departures } from "./departures.ts";
import type { Evidence } from "./evidence.ts";
import { createGoneGroup } from "./group-steps.ts";
import type { Hosts } from "./hosts.ts";
import { createScope, type HeldLease } from "./leases.ts";
import type { Orders } from "./orders.ts";

/** Keeps one scope after the other; holds no state of its own. */
export class ScopeController {
  #clock: Clock;
  #random: Random;
  #settings: Settings;
  #engines: Engines;
  #state: ControlState;
  #hosts: Hosts;
  #departures: Departures;
  #evidence: Evidence;
  #orders: Orders;

  constructor(kernel: NodeKernel, orders: Orders) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#settings = kernel.find("settings");
    this.#engines = kernel.find("engines");
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#departures = kernel.find("departures");
    this.#evidence = kernel.find("evidence");
    this.#orders = orders;
  }

  /** Drains surplus groups, forms missing ones, and replaces others. */
  async runRound(lease: HeldLease, signal: AbortSignal): Promise<void> {
    if (this.#state.rules === undefined || this.#hosts.readAt === undefined) {
      return;
    }
    await this.#drainSurplus(lease, signal);
    await this.#formGroups(lease, signal);
    await this.#replaceGroups(lease, signal);
    await this.#drainUnneeded(lease, signal);
  }

  /** Unloads hosts of retired groups that have returned, and frees them. */
  async releaseHosts(lease: HeldLease, signal: AbortSignal): Promise<void> {
    const held = [...this.#state.control.heldHosts.values()]
      .filter(({ scope }) => scope === lease.scope);
    await Promise.all(
      held.map(({ host }) => this.#releaseHost(host, lease, signal)),
    );
  }

  async #releaseHost(
    host: string,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const address = this.#hosts.findAddress(host);
    if (address === undefined) {
      return;
    }
    const timeoutMs = this.#settings.timing["probe-interval"];
    const reply = await this.#engines.probe(address, timeoutMs, signal);
    if (reply.isErr || reply.value.host !== host) {
      return;
    }
    if (reply.value.running + reply.value.waiting > 0) {
      return;
    }
    // An idle host confirms the unload too, which raises its fencing number.
    const gone = createGoneGroup(reply.value);
    if (await this.#orders.send("unload", host, gone, lease, signal)) {
      await this.#orders.propose(
        { kind: "host-released", host },
        lease,
        signal,
      );
    }
  }

  async #drainSurplus(lease: HeldLease, signal: AbortSignal): Promise<void> {
    const surplus = listSurplusGroups(this.#listModels(), this.#listGroups());
    for (const group of surplus) {
      if (group.scope === lease.scope) {
        await this.#drain(group, lease, signal);
      }
    }
  }

  async #formGroups(lease: HeldLease, signal: AbortSignal): Promise<void> {
    const planned = planGroups(this.#createInput());
    for (const { model, placed } of planned) {
      if (createScope(placed.dataCentre) === lease.scope) {
        await this.#assign(model, placed, undefined, lease, signal);
      }
    }
  }

  async #replaceGroups(lease: HeldLease, signal: AbortSignal): Promise<void> {
    for (const group of listReplicas(this.#listGroups())) {
      const departure = this.#findDeparture(group);
      if (departure !== undefined) {
        await this.#replace(group, departure, lease, signal);
      }
    }
  }

  /** Drains replacements of groups that stay after all. */
  async #drainUnneeded(lease: HeldLease, signal: AbortSignal): Promise<void> {
    for (const group of this.#listGroups()) {
      const replaced = this.#state.control.groups.get(group.replaces ?? "");
      const isUnneeded = replaced !== undefined &&
        replaced.phase !== "draining" &&
        this.#findDeparture(replaced) === undefined;
      if (isUnneeded && group.scope === lease.scope) {
        await this.#drain(group, lease, signal);
      }
    }
  }

  /** Why and by when a group has to be replaced; undefined while it stays. */
  #findDeparture(group: GroupState): Departure | undefined {
    const departures = group.hosts
      .map((host) => this.#departures.find(host))
      .filter((departure) => departure !== undefined);
    const version = this.#state.rules?.models.get(group.model)?.version;
    if (departures.length === 0) {
      return version === group.version ? undefined : { at: undefined };
    }
    const dates = departures.map(({ at }) => at)
      .filter((at) => at !== undefined);
    return { at: dates.length === 0 ? undefined : Math.min(...dates) };
  }

  /**
   * Forms the replacement first, and drains the group once it serves. If only
   * another data centre has free hosts, its holder forms the replacement and
   * the group's own holder waits for it.
   */
  async #replace(
    group: GroupState,
    departure: Departure,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    const isOwn = group.scope === lease.scope;
    const isDue = isDrainDue(departure, this.#clock.wallTime());
    if (isOwn && (isDue || this.#isReplaced(group))) {
      await this.#drain(group, lease, signal);
      return;
    }
    if (this.#findReplacement(group) !== undefined) {
      return;
    }
    const model = this.#state.rules?.models.get(group.model);
    const placed = model === undefined
      ? undefined
      : placeReplacement(model, group, this.#createInput());
    if (model !== undefined && placed !== undefined) {
      if (createScope(placed.dataCentre) === lease.scope) {
        await this.#assign(model, placed, group.group, lease, signal);
      }
      return;
    }
    const mayGoUnreplaced = departure.at === undefined &&
      !this.#isChanging(group);
    if (isOwn && mayGoUnreplaced) {
      await this.#drain(group, lease, signal);
    }
  }

  #findReplacement({ group }: GroupState): GroupState | undefined {
    return this.#listGroups().find(({ replaces, phase }) =>
      replaces === group && phase !== "draining"
    );
  }

  /** Whether the replacement serves; one elsewhere is its holder's concern. */
  #isReplaced(group: GroupState): boolean {
    const replacement = this.#findReplacement(group);
    return replacement?.phase === "ready" &&
      (replacement.scope !== group.scope ||
        this.#evidence.findObstacle(replacement) === undefined);
  }

  /** Whether another group of the model is changing, so that one goes a time. */
  #isChanging({ group: id, model }: GroupState): boolean {
    return this.#listGroups().some((group) =>
      group.model === model && group.group !== id && group.phase !== "ready"
    );
  }

  async #assign(
    model: ModelRule,
    placed: PlacedGroup,
    replaces: string | undefined,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#orders.propose(
      {
        kind: "group-assigned",
        group: `${model.name}-${this.#random.id().slice(0, 8)}`,
        model: model.name,
        version: model.version,
        hosts: placed.hosts.map(({ host }) => host),
        fabricDomain: placed.fabricDomain,
        dataCentre: placed.dataCentre,
        ...(replaces === undefined ? {} : { replaces }),
      },
      lease,
      signal,
    );
  }

  async #drain(
    { group, phase }: GroupState,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<void> {
    if (phase !== "draining") {
      await this.#orders.propose(
        { kind: "group-draining", group },
        lease,
        signal,
      );
    }
  }

  #createInput(): PlanInput {
    return {
      models: this.#listModels(),
      groups: this.#listGroups(),
      freeHosts: this.#listFreeHosts(),
    };
  }

  #listModels(): ModelRule[] {
    return [...this.#state.rules?.models.values() ?? []];
  }

  #listGroups(): GroupState[] {
    return [...this.#state.control.groups.values()];
  }

  #listFreeHosts(): Host[] {
    return [...this.#hosts.all.values()].filter(({ host, state }) =>
      state === "live" && this.#state.control.isFree(host) &&
      this.#departures.find(host) === undefined
    );
  }
}
