/**
 * Forms one group: every member joins, all are seen ready, the lead opens.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { type Clock, type Logger, withDeadline } from "@zinniahill/kernel";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";
import type { Instance, Membership } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { HolderElector } from "./holder-elector.ts";
import type { WeightLoadLimiter } from "./weight-load-limiter.ts";
import { isMemberOf, OrderSender, PlacementError } from "./order-sender.ts";
import type { Formation } from "./plan.ts";

/** A group on its way to be opened. */
export interface FormingGroup {
  readonly name: string;
  readonly epoch: number;
  readonly model: ModelProfile;
  readonly engine: EngineProfile;
  /** Instance ids; the first is the lead. */
  readonly members: readonly string[];
  /** Members whose weights must be loaded. */
  readonly membersToLoad: ReadonlySet<string>;
  /** Members that join when a staging that has begun is done. */
  readonly stagingHosts: ReadonlySet<string>;
  readonly loadPriority: number;
}

/** Several loads at once take longer than one. */
const LOAD_TIMEOUT_FACTOR = 4;
const JOIN_TIMEOUT_MS = 3000;
const OPEN_TIMEOUT_MS = 2000;
const SHARE_DIGITS = 3;

/** Carries out formations. */
export class GroupFormer {
  /**
   * Groups that this node began to form and did not order to open, with its
   * fencing number at that time.
   */
  #unopened = new Map<string, number>();
  #holder: HolderElector;
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orders: OrderSender;
  #loads: WeightLoadLimiter;

  constructor(
    kernel: RelayKernel,
    orders: OrderSender,
    loads: WeightLoadLimiter,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orders = orders;
    this.#loads = loads;
    this.#holder = kernel.find("holder");
  }

  /**
   * Whether nobody has ordered a group to open. Another node may have done so
   * if placement moved since its formation began.
   */
  isUnopened(name: string): boolean {
    return this.#unopened.get(name) === this.#holder.fence;
  }

  /** Joins the members of a new group and opens it. */
  async form(
    group: FormingGroup,
    { fabricDomain, remainingSpares, demandShare }: Formation,
    signal: AbortSignal,
  ): Promise<void> {
    this.#logger.info("group_forming", {
      group: group.name,
      epoch: group.epoch,
      lead: group.members[0],
      members: group.members.length,
      loads: group.membersToLoad.size,
      staging: group.stagingHosts.size,
      domain: fabricDomain,
      spares: remainingSpares,
      groups_of_model: group.loadPriority,
      demand_share: Number(demandShare.toFixed(SHARE_DIGITS)),
    });
    this.#unopened.set(group.name, this.#holder.fence);
    const born = this.#readBirths(group);
    const stop = new AbortController();
    const joinSignal = AbortSignal.any([signal, stop.signal]);
    // Each member waits on it several times.
    setMaxListeners(0, joinSignal);
    try {
      await Promise.all(
        group.members.map((id) => this.#join(group, id, joinSignal)),
      );
    } finally {
      // One member that cannot join ends the wait for the others.
      stop.abort(new PlacementError("another member did not join"));
    }
    await this.open(group, born, signal);
  }

  /** Opens a group whose members have all joined. */
  async open(
    group: FormingGroup,
    born: ReadonlyMap<string, number>,
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(
      group.members.map((id) => this.#verifyReady(group, id, born, signal)),
    );
    const { name, epoch } = group;
    const lead = group.members[0]!;
    const isOpen = (membership: Membership | undefined) =>
      isMemberOf(membership, name, epoch) && membership?.state === "open";
    this.#unopened.delete(name);
    await this.#orders.send(
      lead,
      { kind: "open", group: name, epoch },
      ({ engine }) => isOpen(engine.membership),
      signal,
    );
    await this.#waitFor(
      group.engine.openMs + OPEN_TIMEOUT_MS,
      () => isOpen(this.#find(lead).engine?.membership),
      signal,
    );
    this.#logger.info("group_opened", { group: name, epoch, lead });
  }

  /** When each member's process started. */
  #readBirths({ members }: FormingGroup): Map<string, number> {
    return new Map(members.map((id) => [id, this.#find(id).bornAt]));
  }

  async #join(
    group: FormingGroup,
    id: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { name, epoch, model, engine, members, membersToLoad } = group;
    const isLoading = membersToLoad.has(id);
    const release = isLoading
      ? await this.#loads.acquire(engine, group.loadPriority, signal)
      : () => {};
    try {
      await this.#orders.send(
        id,
        {
          kind: "join",
          group: name,
          epoch,
          model: model.name,
          members: [...members],
        },
        (report) => isMemberOf(report.engine.membership, name, epoch),
        signal,
      );
      const limitMs = isLoading || group.stagingHosts.has(id)
        ? model.loadMs * LOAD_TIMEOUT_FACTOR
        : model.stagedLoadMs + JOIN_TIMEOUT_MS;
      await this.#waitFor(limitMs, () => this.#isReady(group, id), signal);
    } finally {
      release();
    }
  }

  #isReady({ name, epoch }: FormingGroup, id: string): boolean {
    const membership = this.#find(id).engine?.membership;
    return isMemberOf(membership, name, epoch) &&
      membership?.state === "ready";
  }

  /**
   * No engine checks the other members, so each one is asked itself. A report
   * lags behind: that a member became ready is what the store says.
   */
  async #verifyReady(
    group: FormingGroup,
    id: string,
    born: ReadonlyMap<string, number>,
    signal: AbortSignal,
  ): Promise<void> {
    const { name, epoch } = group;
    const instance = this.#find(id);
    const report = await this.#orders.requestReport(instance, signal);
    const membership = report?.engine.membership;
    if (
      !isMemberOf(membership, name, epoch) ||
      instance.bornAt !== born.get(id) || !this.#isReady(group, id)
    ) {
      throw new PlacementError(
        `${id} is not ready: ${membership?.state ?? "no answer"}`,
      );
    }
  }

  #find(id: string): Instance {
    const instance = this.#instances.find(id);
    if (instance === undefined || instance.isDraining) {
      throw new PlacementError(`${id} is gone or leaving`);
    }
    return instance;
  }

  async #waitFor(
    limitMs: number,
    isMet: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    await withDeadline(
      this.#clock,
      limitMs,
      signal,
      (bounded) => this.#instances.changed.until(isMet, bounded),
    );
  }
}
