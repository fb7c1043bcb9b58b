/**
 * What callers got, what operators were told, and when faults were there.
 *
 * @module
 */
import type { Verdict } from "@zinniahill/schema";

/** A span of time; without an end it lasts until the row ends. */
export interface Span {
  readonly from: number;
  to?: number;
}

/** How an attempt at a node ended for the caller. */
export type AttemptEnd =
  /** The answer was reported as complete. */
  | "answered"
  /** A refusal with a verdict came. */
  | "refused"
  /** The connection ended because the node was gone. */
  | "lost";

interface Attempt extends Span {
  /** Node and how often it had been started. */
  readonly node: string;
  readonly start: number;
  end?: AttemptEnd;
  verdict?: Verdict;
  message?: string;
}

/** One attempt of a caller to get a stream of tokens. */
export interface StreamAttempt extends Attempt {
  /** Request id, as engines record it. */
  readonly request: string;
  readonly tokens: string[];
}

/** A caller's request for a stream, with every attempt. */
export interface StreamCase {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly attempts: StreamAttempt[];
}

/** One attempt of a caller to make a non-idempotent call. */
export interface CallAttempt extends Attempt {
  reply?: string;
}

/** A caller's non-idempotent call, with every attempt. */
export interface CallCase {
  readonly key: string;
  readonly attempts: CallAttempt[];
}

/** What an operator was told about an edit. */
export interface Edit extends Span {
  readonly id: string;
  readonly node: string;
  isAccepted?: boolean;
}

/** The version that a node had in force from a time on. */
export interface VersionSample {
  readonly node: string;
  readonly start: number;
  readonly at: number;
  readonly version: number;
}

/** One planned stop of a node. */
export interface PlannedStop extends Span {
  readonly node: string;
  readonly start: number;
}

/** Everything that the judgements of one row may use, but for the upstreams. */
export class Records {
  readonly streams: StreamCase[] = [];
  readonly calls: CallCase[] = [];
  readonly edits: Edit[] = [];
  readonly versions: VersionSample[] = [];
  readonly plannedStops: PlannedStop[] = [];
  /** When each host was away or stood still. */
  readonly missingHosts = new Map<string, Span[]>();
  /** From when each host was announced as leaving or drained. */
  readonly leavingHosts = new Map<string, Span[]>();
  /** When each node could not read the log, including when it was away. */
  readonly cutFromLog = new Map<string, Span[]>();
  /** When each node did not run. */
  readonly stoppedNodes = new Map<string, Span[]>();
  /** Hosts that left at an announced time. */
  readonly maintainedHosts = new Map<string, Span[]>();
}

/** Opens a span of a name; the result ends it. */
export function openSpan(
  spans: Map<string, Span[]>,
  name: string,
  from: number,
): (to: number) => void {
  const span: Span = { from };
  spans.set(name, [...spans.get(name) ?? [], span]);
  return (to) => {
    span.to ??= to;
  };
}

/** Whether any span of a name covers the whole time between two moments. */
export function covers(
  spans: ReadonlyMap<string, readonly Span[]>,
  name: string,
  from: number,
  to: number,
): boolean {
  return (spans.get(name) ?? []).some((span) =>
    span.from <= from && (span.to ?? Infinity) >= to
  );
}

/** Whether any span of a name overlaps the time between two moments. */
export function overlaps(
  spans: ReadonlyMap<string, readonly Span[]>,
  name: string,
  from: number,
  to: number,
): boolean {
  return (spans.get(name) ?? []).some((span) =>
    span.from <= to && (span.to ?? Infinity) >= from
  );
}
