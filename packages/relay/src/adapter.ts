/**
 * Interfaces that a platform adapter implements: the store, the control
 * interface of engines, and the headers of requests and responses.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Verdict } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Configuration } from "./model/configuration.ts";
import type { ConfigurationKey } from "./model/configuration-key.ts";
import type { EngineReport, Instance } from "./model/instance.ts";
import type { Order, OrderReply } from "./model/order.ts";
import type { KeyRecord, NodeEntry } from "./model/peer-message.ts";

/** The feeds of the store that nodes follow. */
export type FeedName = "configuration" | "instances" | "nodes";

/** Failure of a call that got no usable reply. */
export interface Fault {
  readonly verdict: Verdict;
  readonly message: string;
  /** Whether records from the requested position on are no longer stored. */
  readonly isHistoryLost?: boolean;
  /** Whether nothing, or another process, listens at the called address. */
  readonly isGone?: boolean;
}

/** The latest record of each key. */
export interface Snapshot {
  readonly records: readonly KeyRecord[];
  /** Position from which newer records are read. */
  readonly next: number;
}

/** Consecutive records that begin at a position. */
export interface Batch {
  readonly records: readonly KeyRecord[];
  readonly next: number;
}

/** Access to the feeds of the store; see `model/store-position.ts`. */
export interface FeedStore {
  /** Rises each time the store is restored from a copy. */
  readonly era: number;
  /** Reads the latest record of each key. */
  readNewest(
    feed: FeedName,
    signal: AbortSignal,
  ): Promise<Result<Snapshot, Fault>>;
  /**
   * Waits up to `waitMs` for records that begin at a position. The history is
   * lost if the position is of an era before the last restore.
   */
  readFrom(
    feed: FeedName,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<Batch, Fault>>;
  /** Publishes the entry of this node. */
  announceNode(
    entry: NodeEntry,
    signal: AbortSignal,
  ): Promise<Result<void, Fault>>;
}

/** Status of a member after it has renewed its membership. */
export interface ElectionStatus {
  /** Increases with each change of the members, also over a restore. */
  readonly generation: number;
  readonly isHolder: boolean;
}

/** Election of the holder: the store chooses one of the members. */
export interface HolderElection {
  renew(
    member: string,
    generation: number,
    termMs: number,
    signal: AbortSignal,
  ): Promise<Result<ElectionStatus, Fault>>;
  leave(member: string, signal: AbortSignal): Promise<Result<void, Fault>>;
}

/** Conditions under which an engine carries out an order. */
export interface OrderCondition {
  readonly fence: number;
  /** Order count of the engine on which the decision was based. */
  readonly orderCount?: number | undefined;
}

/** Control interface of engines. */
export interface EngineControl {
  requestReport(
    target: Pick<Instance, "id" | "address">,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<EngineReport, Fault>>;
  sendOrder(
    target: Pick<Instance, "id" | "address">,
    order: Order,
    condition: OrderCondition,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<OrderReply, Fault>>;
}

/** Decodes stored values; the error says why a value is unreadable. */
export interface RecordDecoder {
  /** What a key of the configuration feed holds; undefined if unknown. */
  configurationKey(key: string): ConfigurationKey | undefined;
  configuration(value: string): Result<Configuration, string>;
  instance(id: string, value: string): Result<Instance, string>;
  /**
   * Returns an entry without the count by which engines renew it, so that a
   * renewal is recognized without decoding.
   */
  removeRenewalCount(value: string): string;
  /** The renewal count of an entry; 0 if it has none. */
  readRenewalCount(value: string): number;
  node(value: string): Result<NodeEntry, string>;
}

/** Metadata in the headers of a caller's request. */
export interface RequestMetadata {
  readonly attemptId: string | undefined;
  readonly host: string;
  /** Path and query, as received. */
  readonly target: string;
  readonly apiKey: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in order. The
   * part that is the request's own comes last and is left out.
   */
  readonly sharedParts: readonly string[];
  /** Id of the part of the prompt that is the request's own. */
  readonly ownPart: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly outputTokensHint: number | undefined;
  /** Id of the last event that the caller has from an earlier stream. */
  readonly lastEventId: string | undefined;
}

/** Metadata that the relay adds to a forwarded request. */
export interface ForwardMetadata {
  readonly deadlineMs: number;
  readonly instance: string;
  readonly account: string | undefined;
  /** 0 is the most urgent, 9 the least urgent. */
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** Metadata in the head of an upstream's response. */
export interface ResponseMetadata {
  /** Whether the upstream declares that it did not run the request. */
  readonly hasNotRun: boolean;
  readonly attemptId: string | undefined;
  /** Whether the response carries the upstream's signature. */
  readonly isSigned: boolean;
  /** Whether the body was encoded in transit. */
  readonly isEncoded: boolean;
  /** Instance that the upstream names as the cause of a refusal. */
  readonly faultyInstance: string | undefined;
  /** Whether the upstream is about to leave. */
  readonly isLeaving: boolean;
  /** The time for which the upstream, which refused, wants no request. */
  readonly backOffMs: number | undefined;
  /**
   * Requests a second that the upstream takes from all nodes together, if it
   * names such a limit.
   */
  readonly maxRequestsPerS: number | undefined;
  /** Time for which the upstream says that it remains cold, if it says so. */
  readonly coldLeftMs: number | undefined;
  /** Running and waiting requests at the upstream, if it reports them. */
  readonly upstreamLoad: number | undefined;
}

/** Reads and writes the headers of requests and responses. */
export interface HeaderCodec {
  /** Lower-case names of headers that identify the answer of a response. */
  readonly identifyingHeaders: ReadonlySet<string>;
  parseRequest(request: IncomingMessage): RequestMetadata;
  /** Returns headers for the upstream as alternating names and values. */
  createForwardHeaders(
    request: IncomingMessage,
    metadata: ForwardMetadata,
  ): string[];
  parseResponse(
    status: number,
    headers: ReadonlyMap<string, string>,
  ): ResponseMetadata;
}
