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
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const connectionOptions = listConnectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isKept = !HOP_BY_HOP_HEADERS.has(name) &&
      !connectionOptions.has(name) &&
      !dropped.has(name);
    if (isKept) {
      kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return kept;
}

/** Counts the bytes of all names and values with their separators. */
export function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

function listConnectionOptions(rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === "connection") {
      rawHeaders[index + 1]!.split(",").forEach((option) =>
        options.add(option.trim().toLowerCase())
      );
    }
  }
  return options;
}
