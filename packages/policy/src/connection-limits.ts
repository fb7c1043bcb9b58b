/**
 * How many connections the listeners of a process may have open.
 *
 * @module
 */

/** What a process may use. */
export interface ProcessResources {
  readonly maxFds: number;
  readonly memoryBytes: number;
}

/** Most open connections of each listener, or of each of a kind. */
export interface ConnectionLimits {
  readonly callers: number;
  /** Of each of the listeners for lookups, readiness and metrics. */
  readonly endpoint: number;
  /** Connections to the peer listener that are not authenticated yet. */
  readonly unknownPeers: number;
  /** Bytes of all heads that have not arrived completely. */
  readonly headBytes: number;
}

/** Files, listeners, timers and the connections to the store. */
const RESERVED_FDS = 200;
/**
 * A request needs a connection to its upstream beside that of its caller; the
 * last quarter is for the other listeners and for peers.
 */
const CALLERS_SHARE = 3 / 8;
const ENDPOINT_SHARE = 1 / 32;
const UNKNOWN_PEERS_SHARE = 1 / 32;
const MIN_CALLERS = 16;
/** Enough for the platform, operators and peers that connect at once. */
const MIN_OTHERS = 32;
/** Connections may take this share of the memory beside what they hold. */
const MEMORY_SHARE = 1 / 8;
const HEADS_SHARE = 1 / 16;
/** Measured with 500 silent connections: 28 KB each, with the parser. */
const CONNECTION_BYTES = 32 * 1024;

/** Computes the limits of a process from its resources. */
export function computeConnectionLimits(
  { maxFds, memoryBytes }: ProcessResources,
): ConnectionLimits {
  const available = Math.max(0, maxFds - RESERVED_FDS);
  const fitting = memoryBytes * MEMORY_SHARE / CONNECTION_BYTES;
  const compute = (share: number, least: number) =>
    Math.max(least, Math.floor(Math.min(available * share, fitting)));
  return {
    callers: compute(CALLERS_SHARE, MIN_CALLERS),
    endpoint: compute(ENDPOINT_SHARE, MIN_OTHERS),
    unknownPeers: compute(UNKNOWN_PEERS_SHARE, MIN_OTHERS),
    headBytes: memoryBytes * HEADS_SHARE,
  };
}
