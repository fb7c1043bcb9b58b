/**
 * The groups that a plan counts as capacity.
 *
 * @module
 */
import type { GroupPlanInput } from "@zinniahill/policy";
import type { Group } from "../hosts/groups.ts";
import type { Instance } from "../model/instance.ts";
import { getFabricDomain } from "./free-hosts.ts";
import type { FormingGroup } from "./group-former.ts";

/** Groups by model and by fabric domain. */
export type GroupCounts = Pick<
  GroupPlanInput,
  "groupCounts" | "modelsByDomain"
>;

/** The state that groups are counted from. */
export interface CountedGroups {
  readonly groups: readonly Group[];
  /** Groups that are being formed, by name. */
  readonly forming: ReadonlyMap<string, FormingGroup>;
  /** Whether a group is in an evacuated data centre. */
  isEvacuated(group: Group): boolean;
  findInstance(id: string): Instance | undefined;
}

/** Counts groups that serve or will serve, outside of evacuations. */
export function countGroups(
  { groups, forming, isEvacuated, findInstance }: CountedGroups,
): GroupCounts {
  const groupCounts = new Map<string, number>();
  const modelsByDomain = new Map<string, string[]>();
  const count = (model: string, member: Instance | undefined) => {
    const domain = getFabricDomain(member);
    groupCounts.set(model, (groupCounts.get(model) ?? 0) + 1);
    modelsByDomain.set(domain, [...modelsByDomain.get(domain) ?? [], model]);
  };
  for (const group of groups) {
    if (!forming.has(group.name) && !isEvacuated(group)) {
      count(group.model, group.members[0]);
    }
  }
  for (const { model, members } of forming.values()) {
    count(model.name, findInstance(members[0]!));
  }
  return { groupCounts, modelsByDomain };
}
