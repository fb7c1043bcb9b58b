/**
 * Clients of the platform and of the upstreams.
 *
 * @module
 */
export {
  EngineClient,
  type Engines,
  type EngineStream,
  type GenerateOptions,
} from "./engines.ts";
export { createFault, type Fault } from "./fault.ts";
export { type HostList, HostListClient } from "./host-list.ts";
export { callJson, type JsonCall } from "./http.ts";
export {
  type Log,
  LogClient,
  type LogOptions,
  type ReadRange,
  type Stream,
} from "./log.ts";
export {
  type PeerConnection,
  type PeerTransport,
  WebSocketTransport,
} from "./peer-transport.ts";
export {
  type PlainCall,
  type PlainReply,
  PlainServiceClient,
  type PlainServices,
} from "./plain-services.ts";
export { hashSecret, isSameHash, readBearer } from "./secrets.ts";
export {
  END_INDEX,
  type TokenBlock,
  TokenFormatError,
  TokenSplitter,
} from "./token-events.ts";
export { type Channel, Traffic, type TrafficCount } from "./traffic.ts";
export {
  type GrantRequest,
  type WeightStore,
  WeightStoreClient,
} from "./weight-store.ts";
