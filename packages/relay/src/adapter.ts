/**
 * The outside systems that an adapter connects: the store, the upstreams'
 * control interface and the form of callers' requests.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Verdict } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Configuration } from "./model/configuration.ts";
import type { EngineReport, Instance } from "./model/instance.ts";
import type { Order, OrderReply } from "./model/order.ts";
import type { KeyRecord, NodeEntry } from "./model/peer-message.ts";

/** The topics that nodes follow. */
export type FeedName = "configuration" | "instances" | "nodes";

/** A call that got no usable reply. */
export interface Fault {
  readonly verdict: Verdict;
  readonly message: string;
  /** The history before the wanted offset is gone. */
  readonly isHistoryLost?: boolean;
}

/** Newest records of all keys. */
export interface Snapshot {
  readonly records: readonly KeyRecord[];
  /** The offset after which newer records are read. */
  readonly next: number;
}

/** Records from an offset on. */
export interface Batch {
  readonly records: readonly KeyRecord[];
  readonly next: number;
}

/** The store's topics of keys and values. */
export interface FeedStore {
  /** Reads the newest record of each key. */
  readNewest(
    feed: FeedName,
    signal: AbortSignal,
  ): Promise<Result<Snapshot, Fault>>;
  /** Waits up to `waitMs` for records from an offset on. */
  readFrom(
    feed: FeedName,
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<Batch, Fault>>;
  /** Announces this node. */
  announceNode(
    entry: NodeEntry,
    signal: AbortSignal,
  ): Promise<Result<void, Fault>>;
}

/** What a member of the placement group was told. */
export interface ElectionStatus {
  /** Rises with each change of the members. */
  readonly generation: number;
  readonly isHolder: boolean;
}

/** Membership at the store, of which one member holds placement. */
export interface HolderElection {
  renew(
    member: string,
    generation: number,
    termMs: number,
    signal: AbortSignal,
  ): Promise<Result<ElectionStatus, Fault>>;
  leave(member: string, signal: AbortSignal): Promise<Result<void, Fault>>;
}

/** The conditions under which an engine carries out an order. */
export interface OrderCondition {
  readonly fence: number;
  /** The engine's count of orders that the decision was based on. */
  readonly orderCount?: number | undefined;
}

/** The engines' control interface. */
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

/** Turns stored values into the product's types; undefined if unreadable. */
export interface RecordDecoder {
  configuration(value: string): Result<Configuration, string>;
  instance(id: string, value: string): Result<Instance, string>;
  node(value: string): Result<NodeEntry, string>;
}

/** What a caller's request says of itself. */
export interface RequestMetadata {
  readonly attemptId: string | undefined;
  readonly host: string;
  /** Path with query, as sent. */
  readonly target: string;
  readonly apiKey: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly outputTokensHint: number | undefined;
  /** The last event that the caller has of an earlier stream. */
  readonly lastEventId: string | undefined;
}

/** What the relay adds to a request for an upstream. */
export interface ForwardMetadata {
  readonly deadlineMs: number;
  readonly instance: string;
  readonly account: string | undefined;
  /** 0 is first, 9 is last. */
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What an upstream's response head says. */
export interface ResponseMetadata {
  /** Whether the upstream says that it did not run the request. */
  readonly hasNotRun: boolean;
  readonly attemptId: string | undefined;
  /** Whether the response carries the upstream's signature. */
  readonly isSigned: boolean;
  /** Whether the body was encoded on the way. */
  readonly isEncoded: boolean;
  /** Instance that the upstream holds responsible for a refusal. */
  readonly faultyInstance: string | undefined;
  /** Requests that the upstream has, running or waiting, if it says so. */
  readonly upstreamLoad: number | undefined;
}

/** The form of callers' requests and upstreams' replies. */
export interface HeaderCodec {
  parseRequest(request: IncomingMessage): RequestMetadata;
  /** Headers for the upstream, as names and values in turn. */
  createForwardHeaders(
    request: IncomingMessage,
    facts: ForwardMetadata,
  ): string[];
  parseResponse(headers: ReadonlyMap<string, string>): ResponseMetadata;
}
