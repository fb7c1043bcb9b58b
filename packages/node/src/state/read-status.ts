/**
 * The status of reading the control stream.
 *
 * @module
 */

/** The result of the last read. */
export type ReadStatus =
  /** No read has ended yet. */
  | "starting"
  /** Entries are applied as they arrive. */
  | "following"
  /** The last read failed. */
  | "unreachable"
  /** Unread entries have expired and no retained checkpoint covers them. */
  | "expired"
  /** The log ends before the offset of this node's state. */
  | "truncated";

/** Why no rules are in force, as shown to operators. */
export const OBSTACLES: { readonly [Kind in ReadStatus]: string } = {
  starting: "the log has not been read yet",
  following: "no configuration has been published",
  unreachable: "the log cannot be read and no peer has sent its state",
  expired: "records have expired, and neither a checkpoint nor a peer's " +
    "state covers them",
  truncated: "the log ends before the offset of this node's state",
};
