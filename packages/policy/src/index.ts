/**
 * Decisions of the system, apart from the encoding of messages.
 *
 * @module
 */
export { Admission, type AdmissionRequest, type Permit } from "./admission.ts";
export { CallReducer, type RememberedCall } from "./call-reducer.ts";
export { ControlReducer, type Decision } from "./control-reducer.ts";
export { type PlacedGroup, placeGroup } from "./placement.ts";
export { type RouteCandidate, type RouteRequest, Routing } from "./routing.ts";
