/**
 * Decisions of the system, apart from the encoding of messages.
 *
 * @module
 */
export { Admission, type AdmissionRequest, type Permit } from "./admission.ts";
export { CallReducer, type RememberedCall } from "./call-reducer.ts";
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
export { chooseEntry, type EntryCandidate } from "./entry-choice.ts";
export { type NameHash, type PeerSlot, planPeerSlots } from "./peer-choice.ts";
export { type PlacedGroup, placeGroup } from "./placement.ts";
export { type RouteCandidate, type RouteRequest, Routing } from "./routing.ts";
