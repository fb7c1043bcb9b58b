/**
 * How much processor time bodies in tiny chunks may take from other requests.
 *
 * @module
 */

/** What has arrived of a body since its connection was last paused. */
export interface ArrivedChunks {
  readonly count: number;
  readonly bytes: number;
}

/** A few small chunks cost no more than the read that they arrive in. */
const MIN_CHUNKS = 64;
/** Below this mean size, parsing chunks costs more than copying their bytes. */
const TINY_CHUNK_BYTES = 256;
/** Share of the event loop that all bodies in tiny chunks get together. */
const SHARE_OF_LOOP = 0.25;

/** Whether a body arrives in chunks that take much time for few bytes. */
export function isTiny({ count, bytes }: ArrivedChunks): boolean {
  return count >= MIN_CHUNKS && bytes < count * TINY_CHUNK_BYTES;
}

/**
 * Computes how long no such body is read, after one has taken `busyMs`; not at
 * all if the node has no other request.
 */
export function computeRestMs(busyMs: number, otherRequests: number): number {
  return otherRequests === 0 ? 0 : busyMs * (1 / SHARE_OF_LOOP - 1);
}
