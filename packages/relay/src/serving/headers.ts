/**
 * Filters hop-by-hop headers and counts header bytes.
 *
 * @module
 */

/** Headers that are never forwarded, in addition to those in `Connection`. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Returns the headers that may be forwarded, without those in `dropped`. */
export function filterHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const connectionOptions = listConnectionOptions(raw);
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    const isKept = !HOP_BY_HOP_HEADERS.has(name) &&
      !connectionOptions.has(name) &&
      !dropped.has(name);
    if (isKept) {
      kept.push(raw[at]!, raw[at + 1]!);
    }
  }
  return kept;
}

/** Counts the bytes of all names and values with their separators. */
export function countHeaderBytes(raw: readonly string[]): number {
  return raw.reduce((sum, part) => sum + part.length + 2, 0);
}

function listConnectionOptions(raw: readonly string[]): Set<string> {
  const options = new Set<string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() === "connection") {
      raw[at + 1]!.split(",").forEach((option) =>
        options.add(option.trim().toLowerCase())
      );
    }
  }
  return options;
}
