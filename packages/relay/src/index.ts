/**
 * Relays opaque requests to plain services and to groups that it forms.
 *
 * @module
 */
export { type LookupAnswer } from "./entry/lookup.ts";
export {
  Account,
  CallerLimits,
  Configuration,
  Destination,
  EngineProfile,
  ModelProfile,
  RequestKind,
  Route,
  Service,
} from "./model/configuration.ts";
export {
  EngineState,
  Instance,
  Membership,
  MemberState,
  Report,
} from "./model/instance.ts";
export { Order, OrderReply } from "./model/order.ts";
export { KeyRecord, NodeEntry } from "./model/peer-message.ts";
export {
  type Batch,
  type Engines,
  type Fault,
  type FeedName,
  type ForwardFacts,
  type OrderCondition,
  type RecordDecoder,
  type ReplyFacts,
  type RequestFacts,
  type RequestFormat,
  type Seat,
  type Snapshot,
  type Standing,
  type Topics,
} from "./outside.ts";
export { stopAsPlanned } from "./planned-stop.ts";
export { createRelayNode, type OutsideFactory } from "./relay-node.ts";
export { RelaySettings } from "./relay-settings.ts";
export { filterHeaders } from "./serving/headers.ts";
export { type RelayKernel } from "./services.ts";
