/**
 * How the reading of the control stream stands.
 *
 * @module
 */

/** What the reader of the stream last met. */
export type ReadStatus =
  /** No read has ended yet. */
  | "starting"
  /** Entries are applied as they come. */
  | "following"
  /** The last read failed. */
  | "unreachable"
  /** Entries that this node has not read have expired, with no checkpoint. */
  | "expired"
  /** The log ends before the state that this node holds. */
  | "truncated";

/** What an operator is told when no configuration is known. */
export const OBSTACLES: { readonly [Kind in ReadStatus]: string } = {
  starting: "the log has not been read yet",
  following: "no configuration has been published",
  unreachable: "the log cannot be read and no peer has given its state",
  expired: "records have expired and neither a checkpoint nor the state of " +
    "a peer covers them",
  truncated: "the log ends before this node's state",
};
