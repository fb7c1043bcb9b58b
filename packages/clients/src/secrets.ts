/**
 * Hashes secrets and compares the hashes in constant time, so that no secret is
 * stored and timing reveals none.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Returns the bearer token of a request; empty if it has none. */
export function readBearerToken(request: IncomingMessage): string {
  const header = request.headers.authorization ?? "";
  return header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
}

/** Returns the SHA-256 hash of a secret in hexadecimal. */
export function hashSecret(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/** Compares two hashes of the same length in constant time. */
export function isSameHash(a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(a, "hex"), Buffer.from(b, "hex"));
}
