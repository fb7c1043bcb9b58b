/**
 * Decisions of the system, apart from the encoding of messages.
 *
 * @module
 */
export { Admission, type AdmissionRequest, type Permit } from "./admission.ts";
export { CallReducer, type RememberedCall } from "./call-reducer.ts";
export { ControlReducer, type Decision } from "./control-reducer.ts";
export {
  type Departure,
  type DepartureSources,
  DRAIN_AHEAD_MS,
  findDeparture,
  isDrainDue,
  REPLACE_AHEAD_MS,
} from "./departure.ts";
export {
  compareText,
  countStranded,
  type PlacedGroup,
  placeGroup,
  type PlacementContext,
} from "./placement.ts";
export {
  listReplicas,
  listSurplus,
  placeReplacement,
  planGroups,
  type PlannedGroup,
  type ReplicaInput,
} from "./replicas.ts";
export { type RouteCandidate, type RouteRequest, Routing } from "./routing.ts";
export { createSubset, Subset } from "./subset.ts";
