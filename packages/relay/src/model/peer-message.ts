/**
 * Messages between nodes.
 *
 * @module
 */
import * as z from "zod";

/** What the host of a node has. */
export const HostResources = z.object({
  /** Cores of usual speed. */
  cores: z.number().positive(),
  linkMbps: z.number().positive(),
});
/** What the host of a node has. */
export type HostResources = z.infer<typeof HostResources>;

/** Identity and addresses of a node. */
export const NodeEntry = z.object({
  name: z.string(),
  /** Random identifier of the process. */
  incarnation: z.string(),
  dataCentre: z.string(),
  publicAddress: z.string(),
  peerAddress: z.string(),
  /** Absent if the node's settings do not name them. */
  resources: HostResources.optional(),
});
/** Identity and addresses of a node. */
export type NodeEntry = z.infer<typeof NodeEntry>;

/** The role of a node in the connections with the others. */
export const TopologyRole = z.enum(["peer", "hub", "spoke"]);
/** The role of a node in the connections with the others. */
export type TopologyRole = z.infer<typeof TopologyRole>;

/** The latest record of a key; a record without a value deletes the key. */
export const KeyRecord = z.object({
  key: z.string(),
  /** Position in the topic, which holds the era of the store. */
  offset: z.number(),
  value: z.string().optional(),
});
/** The latest record of a key; a record without a value deletes the key. */
export type KeyRecord = z.infer<typeof KeyRecord>;

/** Feeds that nodes exchange with each other. */
export const SharedFeed = z.enum(["configuration", "instances"]);
/** Feeds that nodes exchange with each other. */
export type SharedFeed = z.infer<typeof SharedFeed>;

/**
 * Id of an upstream instance, requests of one node in progress there, and
 * milliseconds since its last event; null before the first event.
 */
export const OutstandingCount = z.tuple([
  z.string(),
  z.number(),
  z.number().nullable(),
]);
/** Requests of one node in progress at one upstream instance. */
export type OutstandingCount = z.infer<typeof OutstandingCount>;

/** Work of one node's callers for a model, in hundredths of a busy group. */
export const ModelDemand = z.tuple([z.string(), z.number().nonnegative()]);
/** Work of one node's callers for a model, in hundredths of a busy group. */
export type ModelDemand = z.infer<typeof ModelDemand>;

/** A lead that has to leave its group. */
const LeadToRelease = z.object({
  lead: z.string(),
  address: z.string(),
  group: z.string(),
  epoch: z.number(),
});

/**
 * Outcome of a node's attempts to make a lead leave its group; `ended` if
 * nothing listens at its address.
 */
export const LeadReleaseOutcome = z.enum([
  "left",
  "present",
  "ended",
  "unreachable",
]);
/** Outcome of a node's attempts to make a lead leave its group. */
export type LeadReleaseOutcome = z.infer<typeof LeadReleaseOutcome>;

/** A message that reaches nodes to which its origin has no connection. */
const ForwardedMessage = z.object({
  /** Name of the node that sent it. */
  origin: z.string(),
  incarnation: z.string(),
  /** Name of the only node that it is meant for, if there is one. */
  target: z.string().optional(),
  /** Time since it was sent. */
  ageMs: z.number(),
  /** The encoded message. */
  content: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});
/** A message that reaches nodes to which its origin has no connection. */
export type ForwardedMessage = z.infer<typeof ForwardedMessage>;

/** Parts of prompts that are held back together. */
export const HarmfulPartsReport = z.object({
  parts: z.array(z.string()),
  /** Time since the last crash that they may have caused. */
  ageMs: z.number(),
});
/** Parts of prompts that are held back together. */
export type HarmfulPartsReport = z.infer<typeof HarmfulPartsReport>;

/** A message between two nodes. */
export const PeerMessage = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("hello"),
    entry: NodeEntry,
    /** The sender's role in the topology. */
    role: TopologyRole.default("peer"),
    known: z.array(NodeEntry),
  }),
  z.object({
    kind: z.literal("beat"),
    /** Increases with each heartbeat of a process. */
    sequence: z.number().optional(),
    /** Whether hubs forward it at once, not with their next heartbeat. */
    isUrgent: z.boolean().default(false),
    isServing: z.boolean(),
    /** Whether the node holds placement and gives the orders. */
    holdsPlacement: z.boolean(),
    /** Whether the node is a candidate for holding placement. */
    seeksPlacement: z.boolean().default(false),
    /** Share of a CPU core that is available to callers. */
    capacity: z.number().default(1),
    /** Next unread position of each shared feed. */
    offsets: z.record(SharedFeed, z.number()),
    /** Time since each shared feed was last known to be complete. */
    agesMs: z.record(SharedFeed, z.number()),
    /** Newest version of the configuration that the sender knows, if any. */
    version: z.number().optional(),
    /**
     * Shared feeds that the sender has not read from the store since the grace
     * of a restore; absent if there are none.
     */
    unconfirmed: z.array(SharedFeed).optional(),
    outstanding: z.array(OutstandingCount),
    /** Work of the node's callers; absent if there is none. */
    demand: z.array(ModelDemand).optional(),
    /** Tells a node that was away which prompts crash upstreams. */
    harmfulParts: z.array(HarmfulPartsReport).default([]),
    /** Heartbeats of other nodes since the sender's last one. */
    forwarded: z.array(ForwardedMessage).default([]),
  }),
  z.object({
    kind: z.literal("forward"),
    messages: z.array(ForwardedMessage),
  }),
  z.object({
    kind: z.literal("fetch"),
    feed: SharedFeed,
    from: z.number(),
    /** Whether the whole feed is requested, deletions included. */
    isWhole: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal("records"),
    feed: SharedFeed,
    records: z.array(KeyRecord),
    next: z.number(),
    /** Whether keys without a record are deleted. */
    isSnapshot: z.boolean().default(false),
    /** Whether the sender has read the feed since the grace of a restore. */
    isConfirmed: z.boolean().default(true),
  }),
  /** Changes of the instances among the records between two positions. */
  z.object({
    kind: z.literal("news"),
    from: z.number(),
    next: z.number(),
    records: z.array(KeyRecord),
  }),
  LeadToRelease.extend({
    kind: z.literal("release"),
    /** Fencing number of the node that holds placement. */
    fence: z.number(),
  }),
  LeadToRelease.extend({
    kind: z.literal("released"),
    outcome: LeadReleaseOutcome,
  }),
  /** An upstream process has ended before it answered some requests. */
  z.object({
    kind: z.literal("crash"),
    process: z.string(),
    ageMs: z.number(),
    suspects: z.array(z.object({
      id: z.string(),
      parts: z.array(z.string()),
      /** Time from when the request was sent until the process had ended. */
      sentMsBefore: z.number(),
    })),
  }),
  /** An upstream has answered a request with parts that were at a crash. */
  z.object({
    kind: z.literal("cleared"),
    parts: z.array(z.string()),
    /** Time since the answer began. */
    ageMs: z.number(),
  }),
  /** A response has named the request limit of its upstream, or has not. */
  z.object({
    kind: z.literal("limit"),
    process: z.string(),
    /** Requests a second of all nodes together; null if there is no limit. */
    perSecond: z.number().nonnegative().nullable(),
    /** Time since it was named, or since the request that shows its end. */
    ageMs: z.number(),
  }),
  z.object({
    kind: z.literal("suspect"),
    instance: z.string(),
    group: z.string(),
    epoch: z.number(),
    /** Whether the sender has found that the instance's process has ended. */
    hasEnded: z.boolean().optional(),
  }),
]);
/** A message between two nodes. */
export type PeerMessage = z.infer<typeof PeerMessage>;

/** A message of one kind. */
export type MessageOf<Kind extends PeerMessage["kind"]> = Extract<
  PeerMessage,
  { kind: Kind }
>;
