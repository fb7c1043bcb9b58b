/**
 * What nodes tell each other.
 *
 * @module
 */
import * as z from "zod";

/** Where a node is reached. */
export const NodeEntry = z.object({
  name: z.string(),
  /** Random for each process. */
  incarnation: z.string(),
  dataCentre: z.string(),
  publicAddress: z.string(),
  peerAddress: z.string(),
});
/** Where a node is reached. */
export type NodeEntry = z.infer<typeof NodeEntry>;

/** The newest record of a key; without a value, the key is deleted. */
export const KeyRecord = z.object({
  key: z.string(),
  offset: z.number(),
  value: z.string().optional(),
});
/** The newest record of a key; without a value, the key is deleted. */
export type KeyRecord = z.infer<typeof KeyRecord>;

/** The two feeds that nodes pass on to each other. */
export const SharedFeed = z.enum(["configuration", "instances"]);
/** The two feeds that nodes pass on to each other. */
export type SharedFeed = z.infer<typeof SharedFeed>;

/**
 * Requests in progress that one node has given to one upstream instance, and
 * how long ago an event came from it; null if none has come.
 */
export const OutstandingCount = z.tuple([
  z.string(),
  z.number(),
  z.number().nullable(),
]);
/** Requests in progress that one node has given to one upstream instance. */
export type OutstandingCount = z.infer<typeof OutstandingCount>;

/** A lead that is to leave its group. */
const LeadToRelease = z.object({
  lead: z.string(),
  address: z.string(),
  group: z.string(),
  epoch: z.number(),
});

/** What came of one node's attempts to make a lead leave its group. */
export const LeadReleaseOutcome = z.enum(["left", "present", "unreachable"]);
/** What came of one node's attempts to make a lead leave its group. */
export type LeadReleaseOutcome = z.infer<typeof LeadReleaseOutcome>;

/** A message between two nodes. */
export const PeerMessage = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("hello"),
    entry: NodeEntry,
    known: z.array(NodeEntry),
  }),
  z.object({
    kind: z.literal("beat"),
    isServing: z.boolean(),
    /** Whether the node gives the orders. */
    holdsPlacement: z.boolean(),
    /** Whether the node is about to take placement. */
    seeksPlacement: z.boolean().default(false),
    /** Share of a core that is free for callers. */
    capacity: z.number().default(1),
    /** Next offset of each shared feed that the node has not read. */
    offsets: z.record(SharedFeed, z.number()),
    /** How long ago each shared feed was known to be complete. */
    agesMs: z.record(SharedFeed, z.number()),
    outstanding: z.array(OutstandingCount),
  }),
  z.object({
    kind: z.literal("fetch"),
    feed: SharedFeed,
    from: z.number(),
  }),
  z.object({
    kind: z.literal("records"),
    feed: SharedFeed,
    records: z.array(KeyRecord),
    next: z.number(),
  }),
  /** What is new of the instances among the records between two offsets. */
  z.object({
    kind: z.literal("news"),
    from: z.number(),
    next: z.number(),
    records: z.array(KeyRecord),
  }),
  LeadToRelease.extend({
    kind: z.literal("release"),
    /** The fencing number of the node that holds placement. */
    fence: z.number(),
  }),
  LeadToRelease.extend({
    kind: z.literal("released"),
    outcome: LeadReleaseOutcome,
  }),
  z.object({
    kind: z.literal("suspect"),
    instance: z.string(),
    group: z.string(),
    epoch: z.number(),
  }),
]);
/** A message between two nodes. */
export type PeerMessage = z.infer<typeof PeerMessage>;

/** A message of one kind. */
export type MessageOf<Kind extends PeerMessage["kind"]> = Extract<
  PeerMessage,
  { kind: Kind }
>;
