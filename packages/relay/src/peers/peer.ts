/**
 * What other services know of the peers, and tell them.
 *
 * @module
 */
import type {
  MessageOf,
  NodeEntry,
  OutstandingCount,
} from "../model/peer-message.ts";

/** A node that was heard lately. */
export interface Peer {
  readonly entry: NodeEntry;
  readonly isServing: boolean;
  readonly holdsPlacement: boolean;
  readonly seeksPlacement: boolean;
  /** Share of a core that is free for callers. */
  readonly capacity: number;
  /** Time since its last message. */
  readonly silentMs: number;
}

/** What a node says of placement. */
export interface PlacementRole {
  readonly isHolder: boolean;
  readonly isCandidate: boolean;
}

/** Adds to a beat what another service knows. */
export type OutstandingSource = () => readonly OutstandingCount[];

/** Messages that other services handle. */
export type ForwardedKind = "suspect" | "release" | "released" | "news";

/** Listeners of other services, by kind of message. */
export type MessageListeners = {
  [Kind in ForwardedKind]?: (
    message: MessageOf<Kind>,
    sender: NodeEntry,
  ) => void;
};
