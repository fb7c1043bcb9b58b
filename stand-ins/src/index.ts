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
export {
  EngineModel,
  type EngineOptions,
  type EngineOrderRun,
  type EngineRun,
  type EventSink,
  type ReceivedOrder,
} from "./engine-model.ts";
export { createToken, hashMessages } from "./engine-text.ts";
export { EngineStandIn } from "./engine.ts";
export {
  Fleet,
  FLEET_HOST,
  FLEET_KEY,
  FLEET_MODEL,
  type FleetOptions,
  SECOND_FLEET_MODEL,
} from "./fleet/fleet.ts";
export { createNodeSettings, type NodePlace } from "./fleet/node-settings.ts";
export {
  type CrashRecord,
  FleetRunner,
  type RawAnswer,
  type RunRecord,
} from "./fleet/runner.ts";
export { FleetStore, type StoreCopy, type StoreMode } from "./fleet/store.ts";
export { HostListStandIn } from "./host-list.ts";
export {
  type AppendedEntry,
  type LogCopy,
  type LogFaults,
  LogModel,
  type LogQuery,
  type LogRetention,
} from "./log-model.ts";
export { LogStandIn } from "./log.ts";
export { DelayedLink, type LinkQuality } from "./delayed-link.ts";
export {
  createMalformedAnswers,
  type MalformedAnswer,
} from "./malformed-answers.ts";
export { RawServer, type RawServerOptions } from "./raw-server.ts";
export { type LinkMode, MemoryNetwork } from "./memory/network.ts";
export {
  HOST_LIST_END,
  LOG_END,
  type MemoryClients,
  MemoryPlatform,
  type PlatformEvent,
  WEIGHT_STORE_END,
} from "./memory/platform.ts";
export { type RecordedWrite, RecordModel } from "./memory/record-model.ts";
export { MemoryStream, type StreamFaults } from "./memory/stream.ts";
export { MemoryTransports } from "./memory/transport.ts";
export {
  type RecordedCall,
  type RecordFaults,
  RecordServiceStandIn,
} from "./record-service.ts";
export { Relay, type RelayMode } from "./relay.ts";
export { WeightStoreStandIn } from "./weight-store.ts";
