/**
 * A caller's request on its way to an upstream.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Account, Route, ServiceProfile } from "../model/configuration.ts";
import type { RequestMetadata } from "../adapter.ts";

/** A request that was read whole and whose route is known. */
export interface RelayedRequest {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly facts: RequestMetadata;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: ServiceProfile;
  readonly account: Account | undefined;
  /** The account's rank, or else the route's; 0 is the most urgent. */
  readonly rank: number;
  readonly receivedAt: number;
  /** When the caller or the route gives the request up. */
  readonly deadlineAt: number;
  /** Aborted when the caller has gone. */
  readonly gone: AbortSignal;
  /** Instances that it was sent to. */
  readonly sentTo: Set<string>;
  /** Whether any of them may have run it. */
  mayHaveRun: boolean;
}
