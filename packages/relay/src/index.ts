/**
 * Relays opaque requests to plain services and to groups that it forms.
 *
 * @module
 */
export { type LookupResult } from "./entry/lookup.ts";
export {
  Account,
  CallerLimits,
  Configuration,
  Destination,
  EngineProfile,
  IgnoredField,
  ModelProfile,
  RequestKind,
  Route,
  ServiceProfile,
} from "./model/configuration.ts";
export { ConfigurationKey } from "./model/configuration-key.ts";
export {
  EndpointAddress,
  EngineReport,
  EngineState,
  Instance,
  Membership,
  MemberState,
} from "./model/instance.ts";
export { Order, OrderReply } from "./model/order.ts";
export { KeyRecord, NodeEntry } from "./model/peer-message.ts";
export {
  createGeneration,
  createPosition,
  eraOf,
  offsetOf,
  StoreEra,
  storeGenerationOf,
} from "./model/store-position.ts";
export {
  type Batch,
  type ElectionStatus,
  type EngineControl,
  type Fault,
  type FeedName,
  type FeedStore,
  type ForwardMetadata,
  type HeaderCodec,
  type HolderElection,
  type OrderCondition,
  type RecordDecoder,
  type RequestMetadata,
  type ResponseMetadata,
  type Snapshot,
} from "./adapter.ts";
export { shutDownGracefully } from "./graceful-shutdown.ts";
export { type AdapterFactories, createRelayNode } from "./relay-node.ts";
export { DEFAULT_MAX_FDS, RelaySettings } from "./relay-settings.ts";
export { filterHeaders } from "./serving/headers.ts";
export { type RelayKernel } from "./services.ts";
