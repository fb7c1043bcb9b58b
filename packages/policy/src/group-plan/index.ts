/**
 * Plans of groups: formations, conversions and stagings.
 *
 * @module
 */
export { type Conversion } from "./conversion.ts";
export { type Formation } from "./formation.ts";
export { createGroupPlan, type GroupPlan } from "./group-plan.ts";
export {
  type ConvertibleGroup,
  type FreeHost,
  type GroupPlanInput,
  type PastConversion,
  type PlannedEngine,
  type PlannedModel,
} from "./group-plan-input.ts";
export {
  mayReplaceMembership,
  type ReportedGroup,
} from "./membership-replacement.ts";
export { type Staging, type Warming } from "./spare-staging.ts";
export { awaitsUnlistedMember } from "./unlisted-member.ts";
