/**
 * Messages between nodes, and their codec.
 *
 * @module
 */
import { Packr } from "msgpackr";
import { Result } from "true-myth";
import * as z from "zod";
import { ControlSnapshot, Era, Offset } from "./records.ts";

/** Version of the protocol between nodes. */
export const PROTOCOL_VERSION = 1;
/** Largest message that a node accepts from a peer. */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024;

/** First message in each direction. */
export const HelloMessage = z.object({
  kind: z.literal("hello"),
  protocol: z.number().int(),
  node: z.string(),
  /** Id of the process, which differs after a restart. */
  instance: z.string(),
  dataCentre: z.string(),
  publicAddress: z.string(),
  peerAddress: z.string(),
});

/** A node's position in the tree that carries usage totals; see `PeerTree`. */
export const TreePositionTuple = z.tuple([
  /** Root. */
  z.string(),
  /** Sequence number, raised by the root. */
  z.number().int(),
  /** Depth. */
  z.number().int(),
  /** Parent; empty at the root. */
  z.string(),
]);

/** Sent at a fixed interval in both directions. */
export const HeartbeatMessage = z.object({
  kind: z.literal("heartbeat"),
  sequence: z.number().int(),
  configurationVersion: Offset,
  controlOffset: Offset,
  /** The era of the log that the offset belongs to; 0 if missing. */
  era: Era.optional(),
  /** Whether the node's last read of the log succeeded. */
  logReachable: z.boolean(),
  /** Requests in flight as a share of the node's capacity. */
  load: z.number(),
  stopping: z.boolean(),
  /** Present unless every node is connected to every other node. */
  tree: TreePositionTuple.optional(),
});
/** Sent at a fixed interval in both directions. */
export type HeartbeatMessage = z.infer<typeof HeartbeatMessage>;

/** Changes in a node's observations of hosts. */
export const EvidenceMessage = z.object({
  kind: z.literal("evidence"),
  hosts: z.array(z.object({
    host: z.string(),
    missing: z.boolean(),
    /** Age of the observation when it was sent. */
    ageMs: z.number(),
  })),
});

/** What client accounts used at this node since the last message. */
export const UsageMessage = z.object({
  kind: z.literal("usage"),
  sequence: z.number().int(),
  accounts: z.array(z.object({
    account: z.string(),
    requests: z.number(),
    tokens: z.number(),
    streams: z.number().int(),
    /** Number of nodes that have these streams; 1 if missing. */
    users: z.number().int().optional(),
  })),
});

/**
 * What client accounts used on the sender's side of a connection since its last
 * message. As a tuple, an account takes half the bytes of named fields.
 */
export const UsageTotalMessage = z.object({
  kind: z.literal("usage-total"),
  accounts: z.array(z.tuple([
    /** Account. */
    z.string(),
    /** Requests. */
    z.number(),
    /** Tokens. */
    z.number(),
    /** Number of running streams. */
    z.number().int(),
    /** Number of nodes that have these streams. */
    z.number().int(),
  ])),
});

/** Asks for a peer's control state. */
export const SnapshotRequestMessage = z.object({
  kind: z.literal("snapshot-request"),
});

/** A node's control state. */
export const SnapshotMessage = z.object({
  kind: z.literal("snapshot"),
  state: ControlSnapshot,
  /** The era of the log that the state belongs to; 0 if missing. */
  era: Era.optional(),
});

/**
 * A message that nodes forward to their peers, so that it also reaches nodes
 * without a connection to its origin.
 */
export const RelayedMessage = z.object({
  kind: z.literal("relayed"),
  origin: z.string(),
  /** Id of the origin's process. */
  instance: z.string(),
  /** Increases by one with each message of the origin's process. */
  sequence: z.number().int().min(1),
  message: EvidenceMessage,
});

/** A message between nodes. */
export const PeerMessage = z.discriminatedUnion("kind", [
  HelloMessage,
  HeartbeatMessage,
  EvidenceMessage,
  UsageMessage,
  UsageTotalMessage,
  SnapshotRequestMessage,
  SnapshotMessage,
  RelayedMessage,
]);
/** A message between nodes. */
export type PeerMessage = z.infer<typeof PeerMessage>;

/** The message between nodes with a given kind. */
export type PeerMessageOf<Kind extends PeerMessage["kind"]> = Extract<
  PeerMessage,
  { kind: Kind }
>;

const packr = new Packr({ useRecords: false });

/** Encodes a message between nodes. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  return packr.pack(message);
}

/** Decodes and checks a message between nodes. */
export function decodePeerMessage(
  bytes: Uint8Array,
): Result<PeerMessage, string> {
  if (bytes.length > MAX_PEER_MESSAGE_BYTES) {
    return Result.err("the message is too large");
  }
  let value: unknown;
  try {
    value = packr.unpack(bytes);
  } catch {
    return Result.err("the message is not valid MessagePack");
  }
  const parsed = PeerMessage.safeParse(value);
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(z.prettifyError(parsed.error).replaceAll("\n", "; "));
}
