/**
 * Types through which other services use the mesh.
 *
 * @module
 */
import type {
  HarmfulPartsReport,
  MessageOf,
  ModelDemand,
  NodeEntry,
  OutstandingCount,
} from "../model/peer-message.ts";

/** A connected node, as its last heartbeat described it. */
export interface Peer {
  readonly entry: NodeEntry;
  readonly isServing: boolean;
  readonly holdsPlacement: boolean;
  readonly seeksPlacement: boolean;
  /** Share of a core that is free for callers. */
  readonly capacity: number;
  /** Time since the last message arrived. */
  readonly silentMs: number;
}

/** A node's role in the election of the holder. */
export interface PlacementRole {
  readonly isHolder: boolean;
  /** Whether the node is about to take placement. */
  readonly isCandidate: boolean;
}

/** Supplies the counts of requests in progress for heartbeats. */
export type OutstandingSource = () => readonly OutstandingCount[];

/** Supplies the work of this node's callers for heartbeats. */
export type DemandSource = () => readonly ModelDemand[];

/** The work of the callers of one node. */
export interface NodeDemand {
  readonly dataCentre: string;
  readonly demand: readonly ModelDemand[];
}

/** Supplies the parts of prompts that are held back, for heartbeats. */
export type HarmfulPartsSource = () => readonly HarmfulPartsReport[];

/** Kinds of messages that other services handle. */
export type ForwardedKind =
  | "suspect"
  | "release"
  | "released"
  | "news"
  | "crash"
  | "cleared"
  | "limit";

/** Listeners of other services, by kind of message. */
export type MessageListeners = {
  [Kind in ForwardedKind]?: (
    message: MessageOf<Kind>,
    sender: NodeEntry,
  ) => void;
};
