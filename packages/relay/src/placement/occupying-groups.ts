/**
 * Groups whose members are unavailable to other groups.
 *
 * @module
 */
import type { Group, Groups } from "../hosts/groups.ts";
import type { RelayKernel } from "../services.ts";
import type { EvacuatedHosts } from "./evacuated-hosts.ts";
import type { PlacementTasks } from "./placement-tasks.ts";
import type { ReplaceableGroups } from "./replaceable-groups.ts";
import type { SpareWarmer } from "./spare-warmer.ts";
import type { UnlistedLeads } from "./unlisted-leads.ts";

/** What tells whether a group still occupies its hosts. */
export interface OccupationSources {
  readonly tasks: PlacementTasks;
  readonly replaceableGroups: ReplaceableGroups;
  readonly unlistedLeads: UnlistedLeads;
  readonly evacuatedHosts: EvacuatedHosts;
  readonly warmer: SpareWarmer;
}

/** Lists groups that occupy their hosts, and releases unlisted leads. */
export class OccupyingGroups {
  #groups: Groups;
  #sources: OccupationSources;

  constructor(kernel: RelayKernel, sources: OccupationSources) {
    this.#groups = kernel.find("groups");
    this.#sources = sources;
  }

  list(service: string): Group[] {
    return this.#groups.list().filter((group) =>
      group.service === service && this.#occupiesHosts(group)
    );
  }

  /** Whether the formation failed before the lead was ordered to open. */
  hasFailedFormation({ name, state }: Group): boolean {
    const { tasks, replaceableGroups } = this.#sources;
    const isServing = state === "open" || state === "closing";
    return !isServing && !tasks.forming.has(name) &&
      replaceableGroups.isUnopened(name);
  }

  /**
   * Whether a group's members are unavailable to other groups. A lead that does
   * not answer may still serve requests. A lead that the store no longer lists
   * may only be disconnected from the store, so it is ordered to leave first. A
   * group that was never ordered to open serves no requests, whatever the state
   * of its lead.
   */
  #occupiesHosts(group: Group): boolean {
    const { tasks, replaceableGroups, unlistedLeads, evacuatedHosts, warmer } =
      this.#sources;
    if (
      this.hasFailedFormation(group) || warmer.isWarmingGroup(group.name)
    ) {
      return false;
    }
    if (tasks.isBusy(group) || evacuatedHosts.includesGroup(group)) {
      return true;
    }
    if (group.lead !== undefined) {
      return !replaceableGroups.hasLeft(group);
    }
    const leadStatus = unlistedLeads.getStatus(group);
    if (leadStatus === "unknown") {
      tasks.runGroup(
        group,
        "release_lead",
        (signal) => unlistedLeads.release(group, signal),
      );
    }
    return leadStatus !== "gone";
  }
}
