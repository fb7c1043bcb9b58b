/**
 * Keeps requests from the upstreams of evacuated data centres.
 *
 * @module
 */
import type { UpstreamUse } from "@zinniahill/policy";
import type { Refusal } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Group } from "../hosts/groups.ts";
import type { Instance } from "../model/instance.ts";
import type { Evacuations } from "./evacuations.ts";

/** Whether upstreams are candidates of a selection. */
export interface CandidateTest {
  allowsInstance(instance: Instance): boolean;
  allowsGroup(group: Group): boolean;
}

/** Selects an upstream among those that a test allows. */
export type CandidateSelection<Selected> = (
  test: CandidateTest,
) => Result<Selected, Refusal>;

/**
 * Selects among the data centres that are not evacuated, and if none has an
 * upstream with free capacity, among those that are still a last resort.
 */
export function selectOutsideEvacuations<Selected>(
  evacuations: Evacuations,
  select: CandidateSelection<Selected>,
): Result<Selected, Refusal> {
  const selected = select(createTest(evacuations, "any"));
  if (selected.isOk || evacuations.size === 0) {
    return selected;
  }
  const lastResort = select(createTest(evacuations, "lastResort"));
  return lastResort.isOk ? lastResort : selected;
}

function createTest(evacuations: Evacuations, use: UpstreamUse): CandidateTest {
  return {
    allowsInstance: (instance) => evacuations.getInstanceUse(instance) === use,
    allowsGroup: (group) => evacuations.getGroupUse(group) === use,
  };
}
