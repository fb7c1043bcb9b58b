/**
 * Which connection is closed when a listener has too many.
 *
 * @module
 */

/**
 * What a connection is used for: nothing or a head that has not arrived, a
 * body that has not arrived, whole answers that the caller has not read, or a
 * complete request.
 */
export type ConnectionUse = "idle" | "receiving" | "unread" | "serving";

/** One open connection. */
export interface ConnectionState {
  readonly use: ConnectionUse;
  /** When the last response was sent, or else the connection was accepted. */
  readonly idleSince: number;
  /** Bytes that have arrived of a head that is not complete. */
  readonly headBytes: number;
}

/**
 * Connections that may be closed, in their order, and how long they must have
 * been idle. A caller that reads needs less time for an answer.
 */
const CLOSED_FIRST: readonly (readonly [ConnectionUse, number])[] = [
  ["idle", 0],
  ["receiving", 0],
  ["unread", 5000],
];

/**
 * Chooses the connection that has been idle longest without a complete request;
 * undefined if all serve one. After them, an answer is cut that its caller has
 * not read for some seconds.
 */
export function chooseClosed<State extends ConnectionState>(
  connections: readonly State[],
  now: number,
): State | undefined {
  for (const [use, idleMs] of CLOSED_FIRST) {
    const [first, ...others] = connections.filter((connection) =>
      connection.use === use && now - connection.idleSince >= idleMs
    );
    if (first !== undefined) {
      return others.reduce(
        (oldest, other) => other.idleSince < oldest.idleSince ? other : oldest,
        first,
      );
    }
  }
  return undefined;
}

/** Lists the connections with the longest heads, until the others fit. */
export function listExcessHeads<State extends ConnectionState>(
  connections: readonly State[],
  limitBytes: number,
): State[] {
  const heads = connections
    .filter(({ use, headBytes }) => use === "idle" && headBytes > 0);
  let heldBytes = heads.reduce((sum, { headBytes }) => sum + headBytes, 0);
  if (heldBytes <= limitBytes) {
    return [];
  }
  const excess: State[] = [];
  for (const head of heads.sort((a, b) => b.headBytes - a.headBytes)) {
    if (heldBytes <= limitBytes) {
      break;
    }
    heldBytes -= head.headBytes;
    excess.push(head);
  }
  return excess;
}
