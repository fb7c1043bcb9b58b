/**
 * Checks whether the head of an upstream's response answers a request.
 *
 * @module
 */
import type { HeaderCodec, ResponseMetadata } from "../adapter.ts";
import type { AttemptFault, UpstreamResponse } from "./exchange.ts";
import type { RelayedRequest } from "./relayed-request.ts";

/** Statuses that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** The instance no longer leads the group of the request. */
export const MISDIRECTED_STATUS = 421;

/**
 * Whether a head is made of two: a faulty upstream may send the beginning of an
 * earlier head before the next one. Its status and the rest may then belong to
 * different answers.
 */
export function isMergedHead(
  { isMerged, conflictingHeaders }: UpstreamResponse,
  { identifyingHeaders }: Pick<HeaderCodec, "identifyingHeaders">,
): boolean {
  return isMerged ||
    [...conflictingHeaders].some((name) => identifyingHeaders.has(name));
}

/** Whether a response belongs to a request, and not to an earlier one. */
export function isAnswerTo(
  { metadata }: RelayedRequest,
  { attemptId }: ResponseMetadata,
  isKeptConnection: boolean,
): boolean {
  // On a kept connection, a response without an id may belong to any request.
  return attemptId === undefined
    ? !isKeptConnection
    : attemptId === metadata.attemptId;
}

/** Returns why a response cannot be forwarded, or undefined if it can. */
export function findFault(
  request: RelayedRequest,
  { status }: UpstreamResponse,
  metadata: ResponseMetadata,
  isKeptConnection: boolean,
): AttemptFault | undefined {
  if (!isAnswerTo(request, metadata, isKeptConnection)) {
    return createFault(
      "may-have-run",
      "the response belongs to another request",
    );
  }
  if (metadata.hasNotRun || status === MISDIRECTED_STATUS) {
    return createFault(
      "not-run",
      `the upstream refused the request with status ${status}`,
    );
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return createFault(
      "may-have-run",
      `status ${status} does not guarantee that the request has not run`,
    );
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!metadata.isSigned || metadata.isEncoded)) {
    return createFault(
      "may-have-run",
      "the response is unsigned or was encoded in transit",
    );
  }
  return undefined;
}

/** The fault of a head that is made of two. */
export const MERGED_HEAD: AttemptFault = createFault(
  "may-have-run",
  "the response head holds the beginning of another one",
);

function createFault(
  verdict: AttemptFault["verdict"],
  message: string,
): AttemptFault {
  return { verdict, message, endedBy: "upstream" };
}
