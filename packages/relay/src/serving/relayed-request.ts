/**
 * A caller's request that is relayed to an upstream.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Account, Route, ServiceProfile } from "../model/configuration.ts";
import type { RequestMetadata } from "../adapter.ts";
import type { MemoryAccount } from "@zinniahill/clients";
import type { Replacement } from "./replacement.ts";

/** A request that was read completely, with its route. */
export interface RelayedRequest {
  readonly id: string;
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: ServiceProfile;
  readonly account: Account | undefined;
  /** The account's rank, or else the route's; 0 is the most urgent. */
  readonly rank: number;
  readonly receivedAt: number;
  /** Deadline of the caller or of the route, whichever is earlier. */
  readonly deadlineAt: number;
  /** Aborted when the caller disconnects. */
  readonly callerSignal: AbortSignal;
  /** What the request and its answer hold until the caller has read it. */
  readonly memory: MemoryAccount;
  /** Ids of the instances that the request was sent to. */
  readonly sentTo: Set<string>;
  /** Whether any of these instances may have run the request. */
  mayHaveRun: boolean;
  /**
   * Id of the event after which an attempt has to go on, if the route's streams
   * are resumed.
   */
  lastEventId: string | undefined;
  /**
   * Whether another upstream can go on where the last one stopped: all events
   * that were forwarded have ids.
   */
  canResume: boolean;
  /** An attempt that is made while the upstream is silent. */
  replacement: Replacement | undefined;
}

/** Shared parts that a log line names at most. */
const MAX_LOGGED_PARTS = 8;

/** The shared parts of a request's prompt for the log. */
export function describeParts(
  { metadata: { sharedParts } }: RelayedRequest,
): string | undefined {
  return sharedParts.length === 0
    ? undefined
    : sharedParts.slice(0, MAX_LOGGED_PARTS).join(",");
}
