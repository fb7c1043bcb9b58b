/**
 * Small stand-ins of the platform and of the upstreams.
 *
 * @module
 */
export {
  type BatchedRequest,
  EngineBatch,
  type EngineSpeed,
} from "./engine-batch.ts";
export { createToken, hashMessages } from "./engine-text.ts";
export {
  type EngineOptions,
  type EngineOrderRun,
  type EngineRun,
  EngineStandIn,
} from "./engine.ts";
export { HostListStandIn } from "./host-list.ts";
export { type LogFaults, type LogRetention, LogStandIn } from "./log.ts";
export {
  type RecordedCall,
  type RecordFaults,
  RecordServiceStandIn,
} from "./record-service.ts";
export { Relay, type RelayMode } from "./relay.ts";
export { WeightStoreStandIn } from "./weight-store.ts";
