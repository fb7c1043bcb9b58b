/**
 * Checks the members of suspected groups and dissolves incomplete groups.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { Clock, Logger } from "@zinniahill/kernel";
import type { FreeHost } from "@zinniahill/policy";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { OccupiedHosts } from "./occupied-hosts.ts";
import type { ReplaceableGroups } from "./replaceable-groups.ts";
import type { UnlistedLeads } from "./unlisted-leads.ts";
import { getFabricDomain } from "./free-hosts.ts";
import type { GroupDissolver } from "./group-dissolver.ts";
import type { HolderElector } from "./holder-elector.ts";
import { type HostHealth, isSlowReport } from "./host-health.ts";
import { isMemberOf } from "./order-sender.ts";
import { PendingChecks } from "./pending-checks.ts";

/** The reason for a check. */
export type CheckCause =
  /** The group has stalled for some node. */
  | "stalled"
  /** Some node has found that the process of a member has ended. */
  | "ended"
  /** The store does not list all members. */
  | "unlisted";

/** Minimum time between two checks of one group, by the cause of the later. */
const RECHECK_INTERVALS_MS: Readonly<Record<CheckCause, number>> = {
  stalled: 400,
  // The end of a process is certain, unlike a stall.
  ended: 100,
  unlisted: 400,
};
/**
 * Suspicions last for longer than this, and the heartbeats of nodes whose
 * requests go on have mostly arrived.
 */
const MIN_RENEWAL_MS = 800;
/** Heartbeats report events later than this only if their node is away. */
const PROGRESS_WINDOW_MS = 1000;
/**
 * The same if the last check found all members: some are only disconnected from
 * the store. If one fails meanwhile, the group stalls.
 */
const UNLISTED_RECHECK_INTERVAL_MS = 3000;
/**
 * A member may be silent for this long while its group has requests, as a sound
 * host may fall silent for a second. Callers give up a stream after 2 s without
 * an event, of which a group that is checked has been silent for 0.35 s.
 */
const MAX_SILENCE_MS = 1650;
const SILENCE_CHECK_INTERVAL_MS = 100;
const REQUESTS_POLL_MS = 50;

/** What the members of a group report. */
interface GroupFindings {
  readonly isComplete: boolean;
  /** Whether only the silence of members makes the group incomplete. */
  readonly isSilent: boolean;
  /** Whether the process of the lead has ended. */
  readonly hasLeadEnded: boolean;
  /** Whether the list does not name all members. */
  readonly hasUnknown: boolean;
  /** Whether members are slow and could be replaced. */
  readonly canReplaceSlow: boolean;
}

/** What the checker uses of the placement controller. */
export interface GroupCheckerContext {
  readonly health: HostHealth;
  readonly dissolver: GroupDissolver;
  readonly unlistedLeads: UnlistedLeads;
  readonly replaceableGroups: ReplaceableGroups;
  readonly occupiedHosts: OccupiedHosts;
  /** Whether a task on the group is in progress, or none may begin. */
  isBusy(group: Group): boolean;
  /** Runs a task on a group, which is busy until the task ends. */
  runTask(group: Group, work: (signal: AbortSignal) => Promise<void>): void;
  /** Lists hosts of a service that no group or task occupies. */
  listFreeHosts(service: string): FreeHost[];
}

/** Checks groups while this node holds placement. */
export class GroupChecker {
  #clock: Clock;
  #logger: Logger;
  #configuration: CurrentConfiguration;
  #instances: Instances;
  #groups: Groups;
  #elector: HolderElector;
  #mesh: Mesh;
  #context: GroupCheckerContext;
  #pending: PendingChecks;
  #lastCheckedAt = new Map<string, number>();
  #lastCompleteAt = new Map<string, number>();

  constructor(kernel: RelayKernel, context: GroupCheckerContext) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#configuration = kernel.find("configuration");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#elector = kernel.find("holder");
    this.#mesh = kernel.find("mesh");
    this.#context = context;
    this.#pending = new PendingChecks(this.#clock);
  }

  /** Checks a group now, or once this node holds placement. */
  request(name: string, epoch: number, cause: CheckCause): void {
    if (!this.#elector.isHolder) {
      this.#pending.add(name, epoch, cause);
      return;
    }
    const group = this.#groups.find(name, epoch);
    if (group === undefined || this.#context.replaceableGroups.hasLeft(group)) {
      return;
    }
    if (this.#context.isBusy(group) || !this.#isDue(name, cause)) {
      // The nodes report the end of a process once, so it is not dropped.
      if (cause === "ended") {
        this.#pending.add(name, epoch, cause);
      }
      return;
    }
    this.#lastCheckedAt.set(name, this.#clock.now());
    this.#context.runTask(group, (signal) => this.#check(group, signal));
  }

  /** Checks the groups for which no check could begin before. */
  requestPending(): void {
    this.#pending.take()
      .forEach(({ group, epoch, cause }) => this.request(group, epoch, cause));
  }

  dump(): unknown {
    return this.#pending.dump();
  }

  #isDue(name: string, cause: CheckCause): boolean {
    const now = this.#clock.now();
    const checkedAt = this.#lastCheckedAt.get(name) ?? -Infinity;
    const completeAt = this.#lastCompleteAt.get(name) ?? -Infinity;
    return now - checkedAt > RECHECK_INTERVALS_MS[cause] &&
      (cause !== "unlisted" || now - completeAt > UNLISTED_RECHECK_INTERVAL_MS);
  }

  /**
   * Dissolves the group if a member is missing, has left, or is slow and
   * replaceable, and releases it if its lead has ended. A silent member is only
   * missing once the group has no requests left or its callers give up, as
   * dissolving ends all requests.
   */
  async #check(group: Group, signal: AbortSignal): Promise<void> {
    const startedAt = this.#clock.now();
    const giveUpAt = startedAt + MAX_SILENCE_MS;
    let findings = await this.#probeMembers(group, signal);
    while (findings.isSilent && this.#isWaiting(group, giveUpAt)) {
      this.#renewSuspicion(group, startedAt);
      findings = await this.#probeWhileWaiting(
        group,
        findings,
        giveUpAt,
        signal,
      );
    }
    const { isComplete, isSilent, hasLeadEnded, hasUnknown, canReplaceSlow } =
      findings;
    const isWorking = (isSilent || hasLeadEnded) &&
      this.#hasProgressed(group, startedAt);
    // A lead that drains accepts no connections, and finishes its requests.
    if (isWorking || hasLeadEnded && group.lead?.isDraining === true) {
      return;
    }
    if (hasUnknown && this.#instances.isAwaitingRenewal) {
      // The entry of a member may be hidden; the next check decides.
      return;
    }
    if (hasLeadEnded) {
      await this.#context.unlistedLeads.releaseEnded(group, signal);
    } else if (!isComplete || canReplaceSlow) {
      await this.#context.dissolver.dissolve(
        group,
        isComplete ? "a member is slow" : "a member is missing",
        signal,
      );
    }
  }

  /** Whether a silent group still has requests whose callers wait. */
  #isWaiting(group: Group, giveUpAt: number): boolean {
    return this.#hasRequests(group) && this.#clock.now() < giveUpAt;
  }

  /** Probes a silent group again, unless its requests end meanwhile. */
  async #probeWhileWaiting(
    group: Group,
    findings: GroupFindings,
    giveUpAt: number,
    signal: AbortSignal,
  ): Promise<GroupFindings> {
    const ended = new AbortController();
    const bounded = AbortSignal.any([signal, ended.signal]);
    // Each member's probe adds listeners, in total more than the default limit.
    setMaxListeners(0, bounded);
    const waitForEnd = async () => {
      do {
        await this.#clock.sleep(REQUESTS_POLL_MS, bounded);
      } while (this.#isWaiting(group, giveUpAt));
      return findings;
    };
    const probe = async () => {
      // Some failures of a probe come at once.
      await this.#clock.sleep(SILENCE_CHECK_INTERVAL_MS, bounded);
      return await this.#probeMembers(group, bounded);
    };
    try {
      return await Promise.race([waitForEnd(), probe()]);
    } finally {
      ended.abort();
    }
  }

  /** Suspicions expire, and all nodes would send new requests to the group. */
  #renewSuspicion(group: Group, startedAt: number): void {
    const { name, epoch, lead } = group;
    const isDue = this.#clock.now() - startedAt >= MIN_RENEWAL_MS;
    if (lead !== undefined && isDue && !this.#hasProgressed(group, startedAt)) {
      this.#groups.suspect(name, epoch, "silent member");
      this.#mesh.broadcast({
        kind: "suspect",
        instance: lead.id,
        group: name,
        epoch,
      });
    }
  }

  /** Whether the group works, so that only this node misses a member. */
  #hasProgressed({ lead }: Group, since: number): boolean {
    const earliestAt = Math.max(since, this.#clock.now() - PROGRESS_WINDOW_MS);
    return lead !== undefined &&
      this.#mesh.findLastEventAt(lead.id) > earliestAt;
  }

  #hasRequests({ lead }: Group): boolean {
    return lead !== undefined && this.#mesh.countOutstanding(lead.id) > 0;
  }

  async #probeMembers(
    group: Group,
    signal: AbortSignal,
  ): Promise<GroupFindings> {
    const size = this.#findGroupSize(group);
    // A member that is only disconnected from the store is still working.
    const departed = this.#instances.listDeparted(group.name, group.epoch);
    const probes = await Promise.all(
      [...group.members, ...departed]
        .map((member) => this.#context.health.probe(member, signal)),
    );
    const unknown = (size ?? 0) - group.members.length - departed.length;
    const outdated = unknown > 0
      ? await this.#findOutdatedMembers(group, signal)
      : 0;
    const reports = probes.flatMap((probe) => probe.isOk ? [probe.value] : []);
    const silent = probes.filter((probe) =>
      probe.isErr && probe.error === "silent"
    );
    const present = outdated +
      reports.filter(({ engine }) =>
        isMemberOf(engine.membership, group.name, group.epoch)
      ).length;
    // Without the size in the configuration, nothing shows that it is not.
    const isComplete = size === undefined || present === size;
    if (present === size) {
      this.#lastCompleteAt.set(group.name, this.#clock.now());
    }
    const slowReports = reports.filter((report) => isSlowReport(report));
    const canReplaceSlow = slowReports.length > 0 && size !== undefined &&
      slowReports.length <= this.#countStagedSpares(group);
    this.#logger.info("group_checked", {
      group: group.name,
      epoch: group.epoch,
      present,
      silent: silent.length,
      listed: group.members.length,
      departed: departed.length,
      outdated,
      expected: size,
      slow: slowReports.length,
      can_replace_slow: canReplaceSlow,
    });
    return {
      isComplete,
      // A member that has ended or left will not come back.
      isSilent: size !== undefined && present < size &&
        present + silent.length >= size,
      hasLeadEnded: group.members.some((member, index) => {
        const probe = probes[index]!;
        return member === group.lead && probe.isErr && probe.error === "ended";
      }),
      hasUnknown: unknown > outdated,
      canReplaceSlow,
    };
  }

  /**
   * Counts members whose entries are older than the group, as a node that has
   * just started may read them. Requests the reports of the hosts of the fabric
   * domain that no later group is listed for.
   */
  async #findOutdatedMembers(
    { name, epoch, service, lead }: Group,
    signal: AbortSignal,
  ): Promise<number> {
    const candidates = this.#instances.listAvailable(service).filter((host) =>
      host.engine !== undefined &&
      getFabricDomain(host) === getFabricDomain(lead) &&
      (host.engine.membership?.epoch ?? -Infinity) < epoch
    );
    const reports = await Promise.all(candidates.map(async (host) => {
      const report = await this.#context.health.probe(host, signal);
      const { membership } = report.unwrapOr(undefined)?.engine ?? {};
      if (membership === undefined || !isMemberOf(membership, name, epoch)) {
        return false;
      }
      this.#context.occupiedHosts.record(host, membership);
      return true;
    }));
    return reports.filter(Boolean).length;
  }

  /** Finds the hosts that the group's model needs; undefined if unknown. */
  #findGroupSize({ service, model }: Group): number | undefined {
    const { engine } = this.#configuration.current?.services
      .find(({ name }) => name === service) ?? {};
    return engine?.models.find(({ name }) => name === model)?.hostCount;
  }

  /** Counts spares in the group's domain that can join without a load. */
  #countStagedSpares({ service, model, lead }: Group): number {
    return this.#context.listFreeHosts(service).filter((host) =>
      host.fabricDomain === getFabricDomain(lead) && !host.isSlow &&
      host.staged.includes(model)
    ).length;
  }
}
