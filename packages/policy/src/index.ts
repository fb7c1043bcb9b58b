/**
 * Decisions of the system, apart from the encoding of messages.
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
  type CheckpointTurn,
  computeCheckpointDelay,
  findCheckpoint,
  isCheckpointDue,
} from "./checkpoint.ts";
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
export { chooseEntry, type EntryCandidate } from "./entry-choice.ts";
export { FairQueue, type QueuedItem } from "./fair-queue.ts";
export { type NameHash, type PeerSlot, planPeerSlots } from "./peer-choice.ts";
export { type AdmissionRequest, type Permit } from "./permit.ts";
export {
  compareText,
  countStranded,
  type PlacedGroup,
  placeGroup,
  type PlacementContext,
} from "./placement.ts";
export { PrefixIndex } from "./prefix-index.ts";
export { type PrefixStore, TailStore } from "./prefix-store.ts";
export { createPromptHasher, type PromptHasher } from "./prompt-hasher.ts";
export {
  listReplicas,
  listSurplus,
  placeReplacement,
  planGroups,
  type PlannedGroup,
  type ReplicaInput,
} from "./replicas.ts";
export { RetryBudget } from "./retry-budget.ts";
export { type RouteCandidate, type RouteRequest, Routing } from "./routing.ts";
export { createSubset, Subset } from "./subset.ts";
