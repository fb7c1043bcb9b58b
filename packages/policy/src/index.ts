/**
 * Decision logic of the system, independent of the encoding of messages.
 *
 * @module
 */
export { AccountLimits, type AccountUsage } from "./account-limits.ts";
export { Admission, type AdmissionOptions } from "./admission.ts";
export { CallReducer, type RememberedCall } from "./call-reducer.ts";
export { Capacity, type GroupReport } from "./capacity.ts";
export {
  type CheckpointAge,
  type CheckpointLimits,
  type CheckpointSchedule,
  computeCheckpointDelay,
  findCheckpoint,
  isCheckpointDue,
  isOfLog,
  listCheckpoints,
} from "./checkpoint.ts";
export { createPosition, findEra, findOffset } from "./log-position.ts";
export { type ColdPhase, ColdStart } from "./cold-start.ts";
export { type ArrivedChunks, computeRestMs, isTiny } from "./chunk-share.ts";
export {
  chooseClosed,
  type ConnectionState,
  type ConnectionUse,
  listExcessHeads,
} from "./connection-choice.ts";
export {
  computeConnectionLimits,
  type ConnectionLimits,
  type ProcessResources,
} from "./connection-limits.ts";
export {
  ControlReducer,
  type Decision,
  DECISION_WINDOW,
} from "./control-reducer.ts";
export {
  type Departure,
  type DepartureSources,
  DRAIN_AHEAD_MS,
  findDeparture,
  isDrainDue,
  REPLACE_AHEAD_MS,
} from "./departure.ts";
export { chooseEntryNode, type EntryNode } from "./entry-node.ts";
export {
  type EvacuationContext,
  type EvacuationOutcome,
  type EvacuationState,
  getUse,
  isStanding,
  reduceEvacuation,
  restrictUse,
  type UpstreamUse,
} from "./evacuation.ts";
export { FairQueue, type QueuedItem } from "./fair-queue.ts";
export {
  chooseEviction,
  computeMemoryLimits,
  isCollectionDue,
  isOverLimit,
  type MemoryAmounts,
  type MemoryHolder,
} from "./memory-pressure.ts";
export {
  awaitsUnlistedMember,
  type Conversion,
  type ConvertibleGroup,
  createGroupPlan,
  type Formation,
  type FreeHost,
  type GroupPlan,
  type GroupPlanInput,
  mayReplaceMembership,
  type PastConversion,
  type PlannedEngine,
  type PlannedModel,
  type ReportedGroup,
  type Staging,
  type Warming,
} from "./group-plan/index.ts";
export { type NameHash, type PeerSlot, planPeerSlots } from "./peer-choice.ts";
export { PeerTree, type TreePosition } from "./peer-tree.ts";
export { type AdmissionRequest, type Permit } from "./permit.ts";
export {
  compareText,
  countStrandedAccelerators,
  type PlacedGroup,
  placeGroup,
  type PlacementContext,
} from "./placement.ts";
export { PrefixIndex } from "./prefix-index.ts";
export { DeepestFirstStore, type PrefixStore } from "./prefix-store.ts";
export { createPromptHasher, type PromptHasher } from "./prompt-hasher.ts";
export { chooseQueuedUse, type QueuedUse } from "./queued-requests.ts";
export {
  divideRate,
  type RateBound,
  type RateDivision,
} from "./rate-division.ts";
export {
  deriveRepetition,
  mayRunAgain,
  type Repetition,
} from "./repetition.ts";
export {
  listReplicas,
  listSurplusGroups,
  placeReplacement,
  planGroups,
  type PlanInput,
  type PlannedGroup,
} from "./replicas.ts";
export { RetryBudget } from "./retry-budget.ts";
export { type Home, selectHome } from "./home-selection.ts";
export { type ListedNode, preferLocalNodes } from "./lookup-preference.ts";
export { computeListingShare } from "./listing-share.ts";
export {
  computeHomeShares,
  type HomeNode,
  type HomeShare,
} from "./home-shares.ts";
export { DataCentreDelays, type DelayRow } from "./data-centre-delays.ts";
export {
  planPreferenceStages,
  type PreferenceInput,
  type PreferenceStage,
} from "./data-centre-preference.ts";
export { SpillShare } from "./spill-share.ts";
export { selectBeyondHomes } from "./spill-selection.ts";
export { StagedSelection } from "./staged-selection.ts";
export { type LoadEstimate, selectByLoad } from "./water-filling.ts";
export {
  LoadBalancer,
  type RouteCandidate,
  type RouteRequest,
} from "./load-balancer.ts";
export { createSubset, Subset } from "./subset.ts";
export { UnfreedMemory } from "./unfreed-memory.ts";
export { UsageTotals } from "./usage-totals.ts";
