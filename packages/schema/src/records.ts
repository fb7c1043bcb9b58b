/**
 * Records in the streams of the platform's log.
 *
 * @module
 */
import * as z from "zod";
import { Verdict } from "./verdict.ts";

/** An offset in a stream of the log; the first record has offset 1. */
export const Offset = z.number().int().min(0);

/** Number of times that the log had been restored from a copy. */
export const Era = z.number().int().min(0);

const RecordHeader = { id: z.string(), node: z.string() };
const ControlHeader = {
  ...RecordHeader,
  /** The era of the log that the writer knew; 0 if absent. */
  era: Era.optional(),
};
const FencedHeader = { ...ControlHeader, scope: z.string(), fence: Offset };
const GroupHeader = { ...FencedHeader, group: z.string() };

/** A new text of the rules, edited from version `basis`. */
export const ConfigurationRecord = z.object({
  ...ControlHeader,
  kind: z.literal("configuration"),
  basis: Offset,
  text: z.string(),
  author: z.string(),
});

/** A claim (`fence` 0) or a renewal of the lease of a scope. */
export const LeaseRecord = z.object({
  ...FencedHeader,
  kind: z.literal("lease"),
  /** Offset of the last lease record of the scope that the writer has read. */
  basis: Offset,
});

/** The hosts that will form a group; the first one is the lead. */
export const GroupAssignedRecord = z.object({
  ...GroupHeader,
  kind: z.literal("group-assigned"),
  model: z.string(),
  version: z.string(),
  hosts: z.array(z.string()).min(1),
  fabricDomain: z.string(),
  dataCentre: z.string(),
  /** The group that this one will replace. */
  replaces: z.string().optional(),
});

/** The holder starts to order the group's hosts to load the model. */
export const GroupLoadingRecord = z.object({
  ...GroupHeader,
  kind: z.literal("group-loading"),
});

/** Every host of the group has confirmed its role. */
export const GroupReadyRecord = z.object({
  ...GroupHeader,
  kind: z.literal("group-ready"),
});

/** The group takes no new work. */
export const GroupDrainingRecord = z.object({
  ...GroupHeader,
  kind: z.literal("group-draining"),
});

/** The group has ended; the hosts in `released` have confirmed the unload. */
export const GroupRetiredRecord = z.object({
  ...GroupHeader,
  kind: z.literal("group-retired"),
  released: z.array(z.string()),
});

/** A host of a retired group has confirmed the unload. */
export const HostReleasedRecord = z.object({
  ...FencedHeader,
  kind: z.literal("host-released"),
  host: z.string(),
});

/** An operator takes a host out of service or returns it to service. */
export const HostDrainedRecord = z.object({
  ...ControlHeader,
  kind: z.literal("host-drained"),
  host: z.string(),
  drained: z.boolean(),
  author: z.string(),
});

/** Phases of a group, in lifecycle order. */
export const GroupPhase = z.enum([
  "assigned",
  "loading",
  "ready",
  "draining",
  "retired",
]);
/** Phases of a group, in lifecycle order. */
export type GroupPhase = z.infer<typeof GroupPhase>;

/** The configuration in force. */
export const ConfigurationState = z.object({
  /** Offset of the accepted record; 0 when there is none. */
  version: Offset,
  text: z.string(),
  author: z.string(),
});
/** The configuration in force. */
export type ConfigurationState = z.infer<typeof ConfigurationState>;

/** The lease of one scope. */
export const LeaseState = z.object({
  scope: z.string(),
  holder: z.string(),
  /** Offset of the accepted claim. */
  fence: Offset,
  /** Offset of the last accepted claim or renewal. */
  last: Offset,
  /** Id of the last accepted claim or renewal. */
  lastId: z.string(),
});
/** The lease of one scope. */
export type LeaseState = z.infer<typeof LeaseState>;

/** A group that is not retired. */
export const GroupState = z.object({
  group: z.string(),
  scope: z.string(),
  phase: GroupPhase,
  model: z.string(),
  version: z.string(),
  hosts: z.array(z.string()),
  fabricDomain: z.string(),
  dataCentre: z.string(),
  replaces: z.string().optional(),
  /** Fencing number of the record that set the phase. */
  fence: Offset,
  /** Offset of the record that set the phase. */
  since: Offset,
});
/** A group that is not retired. */
export type GroupState = z.infer<typeof GroupState>;

/** Whether the record with an id was accepted; a repeat of it has no effect. */
export const RecordDecision = z.object({
  id: z.string(),
  accepted: z.boolean(),
});
/** Whether the record with an id was accepted; a repeat of it has no effect. */
export type RecordDecision = z.infer<typeof RecordDecision>;

/** The state that all readers of the control stream agree on. */
export const ControlSnapshot = z.object({
  /** Offset of the last record that the state includes. */
  asOf: Offset,
  /** Id of that record, which a restored log may lack; empty if not known. */
  lastId: z.string().default(""),
  /** The latest era that a record names. */
  era: Era.default(0),
  configuration: ConfigurationState,
  leases: z.array(LeaseState),
  groups: z.array(GroupState),
  /** Hosts of retired groups whose unload is not confirmed, with the group. */
  heldHosts: z.array(z.object({
    host: z.string(),
    group: z.string(),
    scope: z.string(),
  })),
  drainedHosts: z.array(z.string()),
  /** The most recent decisions, oldest first. */
  decisions: z.array(RecordDecision).default([]),
});
/** The state that all readers of the control stream agree on. */
export type ControlSnapshot = z.infer<typeof ControlSnapshot>;

/** A snapshot of the state, for readers that start without any. */
export const CheckpointRecord = z.object({
  ...ControlHeader,
  kind: z.literal("checkpoint"),
  state: ControlSnapshot,
});

/** A record of the `control` stream. */
export const ControlRecord = z.discriminatedUnion("kind", [
  ConfigurationRecord,
  LeaseRecord,
  GroupAssignedRecord,
  GroupLoadingRecord,
  GroupReadyRecord,
  GroupDrainingRecord,
  GroupRetiredRecord,
  HostReleasedRecord,
  HostDrainedRecord,
  CheckpointRecord,
]);
/** A record of the `control` stream. */
export type ControlRecord = z.infer<typeof ControlRecord>;

/** The record of the `control` stream with a given kind. */
export type ControlRecordOf<Kind extends ControlRecord["kind"]> = Extract<
  ControlRecord,
  { kind: Kind }
>;

/** A node is about to make a non-idempotent call. */
export const IntentRecord = z.object({
  ...RecordHeader,
  kind: z.literal("intent"),
  /** Hash of client account, service and idempotency key. */
  key: z.string(),
  bodyHash: z.string(),
});

/** The outcome of a non-idempotent call. */
export const OutcomeRecord = z.object({
  ...RecordHeader,
  kind: z.literal("outcome"),
  key: z.string(),
  /** Id of the intent. */
  intent: z.string(),
  verdict: Verdict,
  status: z.number().int(),
  contentType: z.string(),
  body: z.string(),
  /** Whether the reply was too large to be kept with the record. */
  isBodyOmitted: z.boolean().optional(),
});

/** A record of the `calls` stream. */
export const CallRecord = z.discriminatedUnion("kind", [
  IntentRecord,
  OutcomeRecord,
]);
/** A record of the `calls` stream. */
export type CallRecord = z.infer<typeof CallRecord>;

/** The record of the `calls` stream with a given kind. */
export type CallRecordOf<Kind extends CallRecord["kind"]> = Extract<
  CallRecord,
  { kind: Kind }
>;
