/**
 * Collects what a plan depends on.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { ConvertibleGroup, GroupPlanInput } from "@zinniahill/policy";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { RelayKernel } from "../services.ts";
import type { Conversions } from "./conversions.ts";
import type { Demand } from "./demand.ts";
import { type EngineService, findModel } from "./engine-service.ts";
import type { EvacuatedHosts } from "./evacuated-hosts.ts";
import { type FreeHosts, getFabricDomain } from "./free-hosts.ts";
import { countGroups } from "./group-counts.ts";
import type { HostHealth } from "./host-health.ts";
import type { OccupyingGroups } from "./occupying-groups.ts";
import type { PlacementTasks } from "./placement-tasks.ts";
import type { WeightLoadLimiter } from "./weight-load-limiter.ts";

/** The parts of placement whose state a plan depends on. */
export interface PlanSources {
  readonly tasks: PlacementTasks;
  readonly occupying: OccupyingGroups;
  readonly freeHosts: FreeHosts;
  readonly health: HostHealth;
  readonly evacuatedHosts: EvacuatedHosts;
  readonly conversions: Conversions;
  readonly loadLimiter: WeightLoadLimiter;
}

/** The host list counts as complete once no host was added for this long. */
const NEW_HOST_WINDOW_MS = 500;
/**
 * A lost host that is listed again within this time keeps its group's hosts
 * from a conversion. Most lost hosts never return.
 */
const RETURN_WINDOW_MS = 1500;

/** Reads the state that a plan is made for. */
export class PlanInputs {
  #clock: Clock;
  #instances: Instances;
  #groups: Groups;
  #demand: Demand;
  #sources: PlanSources;

  constructor(kernel: RelayKernel, sources: PlanSources) {
    this.#clock = kernel.find("clock");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#demand = kernel.find("demand");
    this.#sources = sources;
  }

  create(service: EngineService): GroupPlanInput {
    const { name, engine } = service;
    const {
      tasks,
      occupying,
      freeHosts,
      evacuatedHosts,
      conversions,
      loadLimiter,
    } = this.#sources;
    const groups = occupying.list(name);
    const ending = groups.filter(hasDrainingMember);
    const busy = groups.filter((group) => tasks.isBusy(group));
    const work = this.#demand.computeWork(engine);
    return {
      engine,
      freeHosts: freeHosts.list(name, groups, tasks.busyHosts),
      ...countGroups({
        groups: groups.filter((group) =>
          !conversions.isEnding(group) && !hasDrainingMember(group)
        ),
        forming: tasks.forming,
        isEvacuated: (group) => evacuatedHosts.includesGroup(group),
        findInstance: (id) => this.#instances.find(id),
      }),
      demandShares: this.#demand.computeShares(engine),
      busyGroups: [...work.values()].reduce((sum, groups) => sum + groups, 0),
      workByDataCentre: this.#demand.computeWorkByDataCentre(engine),
      dataCentres: new Map(
        this.#instances.listAvailable(name).map((instance) => [
          getFabricDomain(instance),
          instance.dataCentre,
        ]),
      ),
      hasNewHosts:
        this.#clock.now() - this.#instances.lastAddedAt < NEW_HOST_WINDOW_MS,
      returningHosts: countByDomain(
        this.#instances.listDepartedSince(name, RETURN_WINDOW_MS)
          .map(getFabricDomain),
      ),
      unsettledDomains: new Set(
        busy.map(({ members }) => getFabricDomain(members[0])),
      ),
      endingHosts: ending.filter((group) =>
        !evacuatedHosts.includesGroup(group)
      ).flatMap(({ members }) =>
        members.filter(({ isDraining }) => !isDraining)
          .map((member) => freeHosts.describe(member))
      ),
      convertibleGroups: groups.flatMap((group) =>
        this.#describeConvertible(service, group)
      ),
      pastConversions: conversions.list(name),
      pendingLoads: loadLimiter.pendingCount,
    };
  }

  /** Describes a group if it serves and nothing else is done with it. */
  #describeConvertible(
    service: EngineService,
    group: Group,
  ): ConvertibleGroup[] {
    const { tasks, health, evacuatedHosts, freeHosts } = this.#sources;
    const { name, epoch, model, members } = group;
    const isConvertible = group.state === "open" && !tasks.isBusy(group) &&
      !tasks.forming.has(name) && !this.#groups.isSuspected(group) &&
      !evacuatedHosts.includesGroup(group) &&
      members.length === findModel(service, model)?.hostCount &&
      members.every((member) =>
        !member.isDraining && !health.isMissing(member)
      );
    return isConvertible
      ? [{
        name,
        epoch,
        model,
        fabricDomain: getFabricDomain(members[0]),
        hosts: members.map((member) => freeHosts.describe(member)),
      }]
      : [];
  }
}

function hasDrainingMember({ members }: Group): boolean {
  return members.some(({ isDraining }) => isDraining);
}

function countByDomain(domains: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const domain of domains) {
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}
