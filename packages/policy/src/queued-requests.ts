/**
 * What becomes of a request that comes behind others on its connection.
 *
 * @module
 */

/** Whether a request is served, is refused, or ends its connection. */
export type QueuedUse = "serve" | "refuse" | "close";

/** Requests of one connection that may be unanswered, as in `packages/relay`. */
const MAX_UNANSWERED = 32;
/** A refusal behind other answers takes memory, too, until its turn comes. */
const MAX_REFUSED = 32;

/** Decides by the unanswered requests of the connection, with this one. */
export function chooseQueuedUse(unanswered: number): QueuedUse {
  if (unanswered <= MAX_UNANSWERED) {
    return "serve";
  }
  return unanswered <= MAX_UNANSWERED + MAX_REFUSED ? "refuse" : "close";
}
