/**
 * Forms groups: all members join and are verified as ready, then the lead
 * opens.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { type Clock, type Logger, withDeadline } from "@zinniahill/kernel";
import { awaitsUnlistedMember, type Formation } from "@zinniahill/policy";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";
import type { Instance, Membership } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import {
  isMemberOf,
  type OrderSender,
  PlacementError,
} from "./order-sender.ts";
import type { ReplaceableGroups } from "./replaceable-groups.ts";
import type { WeightLoadLimiter } from "./weight-load-limiter.ts";

/** A group that is being formed. */
export interface FormingGroup {
  readonly name: string;
  readonly epoch: number;
  readonly model: ModelProfile;
  readonly engine: EngineProfile;
  /** Instance ids; the first is the lead. */
  readonly members: readonly string[];
  /** Members that must load weights from the weight store. */
  readonly membersToLoad: ReadonlySet<string>;
  /** Members that join once their staging in progress is complete. */
  readonly stagingMembers: ReadonlySet<string>;
  readonly loadPriority: number;
}

/** Concurrent loads slow each other down. */
const LOAD_TIMEOUT_FACTOR = 4;
const JOIN_TIMEOUT_MS = 3000;
const OPEN_TIMEOUT_MS = 2000;
/** Between the probes of a member whose entry has expired. */
const UNLISTED_PROBE_INTERVAL_MS = 400;
const LOGGED_DIGITS = 3;

/** Forms the planned groups. */
export class GroupFormer {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orderSender: OrderSender;
  #loadLimiter: WeightLoadLimiter;
  #replaceableGroups: ReplaceableGroups;

  constructor(
    kernel: RelayKernel,
    orderSender: OrderSender,
    loadLimiter: WeightLoadLimiter,
    replaceableGroups: ReplaceableGroups,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orderSender = orderSender;
    this.#loadLimiter = loadLimiter;
    this.#replaceableGroups = replaceableGroups;
  }

  /** Orders all members to join, then opens the group. */
  async form(
    group: FormingGroup,
    { fabricDomain, remainingSpares, readySpares, demandShare }: Formation,
    signal: AbortSignal,
  ): Promise<void> {
    const awaitsUnlisted = awaitsUnlistedMember({
      loads: group.membersToLoad.size + group.stagingMembers.size,
      readySpares,
    });
    this.#logger.info("group_forming", {
      group: group.name,
      epoch: group.epoch,
      lead: group.members[0],
      members: group.members.length,
      loads: group.membersToLoad.size,
      staging: group.stagingMembers.size,
      domain: fabricDomain,
      spares: remainingSpares,
      load_priority: Number(group.loadPriority.toFixed(LOGGED_DIGITS)),
      demand_share: Number(demandShare.toFixed(LOGGED_DIGITS)),
    });
    this.#replaceableGroups.recordFormation(group.name);
    const members = group.members.map((id) => this.#findMember(id));
    const joinAbort = new AbortController();
    const joinSignal = AbortSignal.any([signal, joinAbort.signal]);
    // Each member adds several listeners, more in total than the default limit.
    setMaxListeners(0, joinSignal);
    try {
      await Promise.all(
        members.map((member) =>
          this.#join(group, member, awaitsUnlisted, joinSignal)
        ),
      );
      if (awaitsUnlisted) {
        // Entries may have expired while other members loaded.
        await Promise.all(
          members.map((member) =>
            this.#waitUntilReady(group, member, JOIN_TIMEOUT_MS, joinSignal)
          ),
        );
      }
    } finally {
      // If one member cannot join, there is no need to wait for the others.
      joinAbort.abort(new PlacementError("another member could not join"));
    }
    const startTimes = new Map(members.map(({ id, bornAt }) => [id, bornAt]));
    await this.open(group, startTimes, signal);
  }

  /** Opens a group whose members have all joined. */
  async open(
    group: FormingGroup,
    startTimes: ReadonlyMap<string, number>,
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(
      group.members.map((id) =>
        this.#verifyReady(group, id, startTimes, signal)
      ),
    );
    const { name, epoch } = group;
    const lead = group.members[0]!;
    const isOpen = (membership: Membership | undefined) =>
      isMemberOf(membership, name, epoch) && membership?.state === "open";
    this.#replaceableGroups.recordOpening(name);
    await this.#orderSender.send(
      lead,
      { kind: "open", group: name, epoch },
      ({ engine }) => isOpen(engine.membership),
      signal,
    );
    await this.#waitFor(
      group.engine.openMs + OPEN_TIMEOUT_MS,
      () => isOpen(this.#findMember(lead).engine?.membership),
      signal,
    );
    this.#logger.info("group_opened", { group: name, epoch, lead });
  }

  async #join(
    group: FormingGroup,
    member: Instance,
    awaitsUnlisted: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { id } = member;
    const { name, epoch, model, engine, members, membersToLoad } = group;
    const isLoading = membersToLoad.has(id);
    const release = isLoading
      ? await this.#loadLimiter.acquire(engine, group.loadPriority, signal)
      : () => {};
    try {
      await this.#orderSender.send(
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
      const timeoutMs = isLoading || group.stagingMembers.has(id)
        ? model.loadMs * LOAD_TIMEOUT_FACTOR
        : model.stagedLoadMs + JOIN_TIMEOUT_MS;
      await this.#waitUntilReady(
        group,
        member,
        timeoutMs,
        signal,
        awaitsUnlisted,
      );
    } finally {
      release();
    }
  }

  /**
   * Waits until a member is listed as ready. The entry of one that is only cut
   * off from the store expires, too, so an unlisted member may be probed before
   * it ends the formation.
   */
  async #waitUntilReady(
    group: FormingGroup,
    member: Instance,
    timeoutMs: number,
    signal: AbortSignal,
    awaitsUnlisted = true,
  ): Promise<void> {
    const isUnlisted = () =>
      awaitsUnlisted && this.#instances.find(member.id) === undefined;
    await withDeadline(this.#clock, timeoutMs, signal, async (bounded) => {
      for (;;) {
        await this.#instances.changed.until(
          () => isUnlisted() || this.#hasJoined(group, member),
          bounded,
        );
        if (!isUnlisted()) {
          return;
        }
        await this.#checkMember(group, member, bounded);
        await this.#clock.sleep(UNLISTED_PROBE_INTERVAL_MS, bounded);
      }
    });
  }

  /** Whether a member is ready; throws if its process has ended. */
  #hasJoined(group: FormingGroup, { id, bornAt }: Instance): boolean {
    if (this.#findMember(id).bornAt !== bornAt) {
      throw new PlacementError(`${id} has started again`);
    }
    return this.#isReady(group, id);
  }

  /** Throws unless the process of an unlisted member answers as a member. */
  async #checkMember(
    { name, epoch }: FormingGroup,
    member: Instance,
    signal: AbortSignal,
  ): Promise<void> {
    const report = await this.#orderSender.requestReport(member, signal);
    if (report.isErr) {
      throw new PlacementError(`${member.id} is not listed: ${report.error}`);
    }
    if (!isMemberOf(report.value.engine.membership, name, epoch)) {
      throw new PlacementError(`${member.id} is not listed and not a member`);
    }
    this.#logger.info("unlisted_member_awaited", {
      group: name,
      instance: member.id,
    });
  }

  #isReady({ name, epoch }: FormingGroup, id: string): boolean {
    const membership = this.#findMember(id).engine?.membership;
    return isMemberOf(membership, name, epoch) &&
      membership?.state === "ready";
  }

  /**
   * Verifies a member by its own report, because engines do not check each
   * other. The report's state may be outdated, so readiness is read from the
   * store.
   */
  async #verifyReady(
    group: FormingGroup,
    id: string,
    startTimes: ReadonlyMap<string, number>,
    signal: AbortSignal,
  ): Promise<void> {
    const { name, epoch } = group;
    const instance = this.#findMember(id);
    const report = await this.#orderSender.requestReport(instance, signal);
    const membership = report.isOk ? report.value.engine.membership : undefined;
    if (
      !isMemberOf(membership, name, epoch) ||
      instance.bornAt !== startTimes.get(id) || !this.#isReady(group, id)
    ) {
      const state = report.isErr ? report.error : membership?.state ?? "left";
      throw new PlacementError(`${id} is not ready: ${state}`);
    }
  }

  #findMember(id: string): Instance {
    const instance = this.#instances.find(id);
    if (instance === undefined || instance.isDraining) {
      throw new PlacementError(`${id} is not listed or is draining`);
    }
    return instance;
  }

  async #waitFor(
    timeoutMs: number,
    isMet: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    await withDeadline(
      this.#clock,
      timeoutMs,
      signal,
      (bounded) => this.#instances.changed.until(isMet, bounded),
    );
  }
}
