/**
 * Hash of addresses that is the same on every node.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Hashes a name to a place on the ring of nodes. */
export function hashName(name: string): number {
  return createHash("sha256").update(name).digest().readUInt32BE();
}
