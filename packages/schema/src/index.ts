/**
 * Schemas, the types inferred from them, and their codecs.
 *
 * @module
 */
export {
  ChatChunk,
  ChatRequest,
  DEFAULT_MAX_TOKENS,
  LookupReply,
  MAX_TOKENS_LIMIT,
} from "./chat.ts";
export {
  Change,
  checkConfiguration,
  CheckName,
  CHECKS,
  ConfigurationReport,
  type ConfigurationSource,
  Difference,
  Finding,
  FindingKind,
} from "./configuration-check/index.ts";
export { AppendReply, LogEntry, LogPage } from "./log.ts";
export {
  decodePeerMessage,
  encodePeerMessage,
  EvidenceMessage,
  HeartbeatMessage,
  HelloMessage,
  MAX_PEER_MESSAGE_BYTES,
  PeerMessage,
  type PeerMessageOf,
  PROTOCOL_VERSION,
  RelayedMessage,
  SnapshotMessage,
  SnapshotRequestMessage,
  TreePositionTuple,
  UsageMessage,
  UsageTotalMessage,
} from "./peer.ts";
export {
  CallRecord,
  type CallRecordOf,
  CheckpointRecord,
  ConfigurationRecord,
  ConfigurationState,
  ControlRecord,
  type ControlRecordOf,
  ControlSnapshot,
  GroupAssignedRecord,
  GroupDrainingRecord,
  GroupLoadingRecord,
  GroupPhase,
  GroupReadyRecord,
  GroupRetiredRecord,
  GroupState,
  HostDrainedRecord,
  HostReleasedRecord,
  IntentRecord,
  LeaseRecord,
  LeaseState,
  Offset,
  OutcomeRecord,
  RecordDecision,
} from "./records.ts";
export {
  AccountRule,
  FencingRule,
  MaintenanceRule,
  ModelRule,
  parseRules,
  RankRule,
  type RuleFault,
  type RuleLine,
  type Rules,
  ServiceRule,
} from "./rules.ts";
export {
  describeSettingsFault,
  parseSettings,
  Settings,
  type SettingsFault,
} from "./settings.ts";
export {
  CacheEvents,
  ChatMessage,
  EngineOrder,
  EngineRefusal,
  EngineRole,
  EngineStatus,
  GenerateRequest,
  GrantReply,
  Host,
  HostListReply,
} from "./upstream.ts";
export { Address, Name, Rank, RANKS } from "./values.ts";
export {
  Refusal,
  type RefusalBody,
  type RefusalCode,
  Verdict,
} from "./verdict.ts";
