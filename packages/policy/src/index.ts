/**
 * Decisions of the system, apart from the encoding of messages.
 *
 * @module
 */
export { AccountLimits, type AccountUsage } from "./account-limits.ts";
export { Admission, type AdmissionOptions } from "./admission.ts";
export { CallReducer, type RememberedCall } from "./call-reducer.ts";
export { Capacity, type GroupReport } from "./capacity.ts";
export { ControlReducer, type Decision } from "./control-reducer.ts";
export { FairQueue, type QueuedItem } from "./fair-queue.ts";
export { type AdmissionRequest, type Permit } from "./permit.ts";
export { type PlacedGroup, placeGroup } from "./placement.ts";
export { PrefixIndex } from "./prefix-index.ts";
export { type PrefixStore, TailStore } from "./prefix-store.ts";
export { createPromptHasher, type PromptHasher } from "./prompt-hasher.ts";
export { RetryBudget } from "./retry-budget.ts";
export { type RouteCandidate, type RouteRequest, Routing } from "./routing.ts";
