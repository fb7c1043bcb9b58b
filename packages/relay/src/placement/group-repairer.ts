/**
 * Repairs groups: dissolves incomplete ones, drains those with a draining
 * member, and opens those that an earlier holder began to form.
 *
 * @module
 */
import type { Feeds } from "../feeds/feeds.ts";
import type { Group, Groups } from "../hosts/groups.ts";
import type { RelayKernel } from "../services.ts";
import { type EngineService, findModel } from "./engine-service.ts";
import type { EvacuatedHosts } from "./evacuated-hosts.ts";
import type { GroupChecker } from "./group-checker.ts";
import type { GroupDissolver } from "./group-dissolver.ts";
import type { FormingGroup, GroupFormer } from "./group-former.ts";
import type { HostHealth } from "./host-health.ts";
import type { OccupyingGroups } from "./occupying-groups.ts";
import type { PlacementTasks } from "./placement-tasks.ts";
import type { SpareWarmer } from "./spare-warmer.ts";
import { RELISTING_MS } from "./unlisted-leads.ts";

/** What the repairer uses of placement. */
export interface RepairContext {
  readonly tasks: PlacementTasks;
  readonly health: HostHealth;
  readonly former: GroupFormer;
  readonly dissolver: GroupDissolver;
  readonly checker: GroupChecker;
  readonly occupying: OccupyingGroups;
  readonly evacuatedHosts: EvacuatedHosts;
  readonly warmer: SpareWarmer;
}

/** Dissolves groups that lost a member and resumes unfinished formations. */
export class GroupRepairer {
  #feeds: Feeds;
  #groups: Groups;
  #context: RepairContext;

  constructor(kernel: RelayKernel, context: RepairContext) {
    this.#feeds = kernel.find("feeds");
    this.#groups = kernel.find("groups");
    this.#context = context;
  }

  repair(service: EngineService): void {
    const {
      tasks,
      health,
      dissolver,
      checker,
      occupying,
      evacuatedHosts,
      warmer,
    } = this.#context;
    for (const group of this.#groups.list()) {
      if (
        group.service !== service.name || tasks.isBusy(group) ||
        tasks.forming.has(group.name) || warmer.isWarmingGroup(group.name) ||
        occupying.hasFailedFormation(group) ||
        evacuatedHosts.includesGroup(group) || !this.#hasResponsiveLead(group)
      ) {
        continue;
      }
      const size = findModel(service, group.model)?.hostCount ?? 0;
      const isComplete = group.members.length === size &&
        group.members.every((member) => !health.isMissing(member));
      if (group.state === "open" || group.state === "closing") {
        this.#repairServingGroup(group, isComplete);
      } else if (
        isComplete && group.state !== "broken" &&
        group.members.every(({ isDraining }) => !isDraining)
      ) {
        this.#resumeFormation(service, group);
      } else if (!isComplete && size > 0 && group.state !== "broken") {
        // The entries may be older than the group, which may be open by now.
        checker.request(group.name, group.epoch, "unlisted");
      } else {
        tasks.runGroup(
          group,
          "dissolve",
          (signal) =>
            dissolver.dissolve(
              group,
              isComplete
                ? `its state is ${group.state}`
                : "a member is missing",
              signal,
            ),
        );
      }
    }
  }

  #repairServingGroup(group: Group, isComplete: boolean): void {
    const { tasks, dissolver, checker } = this.#context;
    if (group.members.some(({ isDraining }) => isDraining)) {
      tasks.runGroup(
        group,
        "drain",
        (signal) => dissolver.drain(group, "a member is draining", signal),
      );
    } else if (
      !isComplete && this.#feeds.sinceOutageMs("instances") >= RELISTING_MS
    ) {
      checker.request(group.name, group.epoch, "unlisted");
    }
  }

  /** Whether the lead is listed and answers. */
  #hasResponsiveLead({ lead }: Group): boolean {
    return lead !== undefined && !this.#context.health.isMissing(lead);
  }

  /**
   * Opens a group that an earlier holder began to form, if all members are
   * ready.
   */
  #resumeFormation(service: EngineService, group: Group): void {
    const { tasks, former } = this.#context;
    const forming: FormingGroup = {
      name: group.name,
      epoch: group.epoch,
      model: findModel(service, group.model)!,
      engine: service.engine,
      members: group.members.map(({ id }) => id),
      membersToLoad: new Set(),
      stagingMembers: new Set(),
      loadPriority: 0,
    };
    const startTimes = new Map(
      group.members.map(({ id, bornAt }) => [id, bornAt]),
    );
    const isEveryMemberReady = group.members.every(({ engine }) =>
      engine?.membership?.state === "ready"
    );
    if (isEveryMemberReady) {
      tasks.runFormation(
        forming,
        (signal) => former.open(forming, startTimes, signal),
      );
    }
  }
}
