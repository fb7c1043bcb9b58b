/**
 * How long the store may hold the reads of a node open.
 *
 * @module
 */
import type { FeedName } from "../adapter.ts";
import type { TopologyRole } from "../model/peer-message.ts";

/**
 * The longest time that the store may hold a read of a hub open. Just before a
 * read ends, a hub knows its feed to be complete only up to the start of the
 * read before.
 */
const HUB_READ_WAIT_MS = 800;
/**
 * A spoke reads only while its hub does not supply the feed. The store may
 * answer a read at the end of its wait, and not at the next record, if that
 * record is deleted at once; a configuration has to be in force within 2 s.
 */
const SPOKE_READ_WAIT_MS = 1200;
/** The longest wait of a read, by role. */
const MAX_READ_WAITS_MS: Readonly<
  Record<TopologyRole, (feed: FeedName) => number>
> = {
  peer: () => Infinity,
  hub: () => HUB_READ_WAIT_MS,
  spoke: (feed) => feed === "configuration" ? SPOKE_READ_WAIT_MS : Infinity,
};

/** The longest time that the store may hold a read of a feed open. */
export function getMaxReadWaitMs(role: TopologyRole, feed: FeedName): number {
  return MAX_READ_WAITS_MS[role](feed);
}
