/**
 * Clients of the platform's services, the upstreams and the peers.
 *
 * @module
 */
export {
  EngineClient,
  type Engines,
  type EngineStream,
  type GenerateOptions,
} from "./engines.ts";
export {
  type AppliedFields,
  type AppliedLimit,
  AppliedLimits,
} from "./applied-limits.ts";
export { appendCounted, type BodyMemory, ByteBuffer } from "./byte-buffer.ts";
export { CallerMemory } from "./caller-memory.ts";
export { type CallerServices } from "./caller-services.ts";
export { type ChunkTurn, ChunkTurns } from "./chunk-turns.ts";
export { type MemoryAccount } from "./memory-account.ts";
export {
  createTooLargeRefusal,
  isBodyless,
  RequestBody,
} from "./request-body.ts";
export {
  ConnectionLimit,
  type ConnectionLimitOptions,
} from "./connection-limit.ts";
export { createConnector } from "./connector.ts";
export { createFault, type Fault } from "./fault.ts";
export { type HostList, HostListClient } from "./host-list.ts";
export { callJson, type JsonCall } from "./http.ts";
export { hashName } from "./name-hash.ts";
export { closeAfterLinger } from "./lingering-close.ts";
export {
  type Log,
  LogClient,
  type LogOptions,
  type LogReadOptions,
  type LogStream,
} from "./log.ts";
export {
  type PeerConnection,
  type PeerTransport,
  type TransportLimits,
  WebSocketTransport,
} from "./peer-transport.ts";
export { waitForTurn } from "./request-turn.ts";
export { ServerConnections } from "./server-connections.ts";
export { holdSocket, type Release } from "./socket-hold.ts";
export { hasBody, refuseBody } from "./unwanted-body.ts";
export {
  type PlainServiceCall,
  PlainServiceClient,
  type PlainServiceReply,
  type PlainServices,
} from "./plain-services.ts";
export { hashSecret, isSameHash, readBearerToken } from "./secrets.ts";
export { isStatusCode } from "./status-code.ts";
export {
  END_INDEX,
  type TokenEventBatch,
  TokenEventSplitter,
  TokenFormatError,
} from "./token-events.ts";
export {
  type ByteCounts,
  type TrafficClass,
  TrafficCounter,
} from "./traffic-counter.ts";
export {
  type GrantRequest,
  type WeightStore,
  WeightStoreClient,
} from "./weight-store.ts";
