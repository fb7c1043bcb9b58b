/**
 * Rate and stream limits of client accounts, shared by all nodes.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { type AccountRule, Refusal } from "@zinniahill/schema";
import { Result, Unit } from "true-myth";

/** Usage of an account on one node since the node's last report. */
export interface AccountUsage {
  readonly account: string;
  readonly requests: number;
  readonly tokens: number;
  /** Streams that are open at the time of the report. */
  readonly streams: number;
  /** Number of nodes that have these streams; one if absent. */
  readonly users?: number | undefined;
}

interface Bucket {
  /** Available now; below 0 when the nodes together used too much. */
  availableRequests: number;
  availableTokens: number;
  refilledAt: number;
  streams: number;
  /** Usage since the last report. */
  unreportedRequests: number;
  unreportedTokens: number;
  /** Streams last reported to the peers. */
  reportedStreams: number;
}

interface PeerStreams {
  readonly count: number;
  readonly users: number;
}

interface PeerReport {
  readonly sequence: number;
  readonly receivedAt: number;
  readonly streams: ReadonlyMap<string, PeerStreams>;
}

/** A full bucket holds the requests and tokens of this much time. */
const BURST_MS = 1000;
/** Least number of parts of the free streams while there are live peers. */
const MIN_STREAM_PARTS = 2;
/** A peer that has not reported for this long counts as lost. */
const PEER_TIMEOUT_MS = 4000;

/**
 * Keeps a token bucket for each active account, refilled at the account's full
 * rate. A node charges its own usage at once and that of peers when they report
 * it. Buckets may go below zero, so that excess usage is paid back: over any
 * time t, n nodes together use at most
 * rate * t + n * rate * (burst + report interval + delay).
 *
 * Between two reports, a node opens at most its part of the free streams. They
 * are divided among the nodes that have streams of the account, into two parts
 * at least. So n nodes that start at the same moment reach at most n / 2 times
 * the limit until the next report. In a network partition, each side applies
 * the whole limit once its peers count as lost.
 */
export class AccountLimits {
  #clock: Clock;
  #countNodes: () => number;
  #buckets = new Map<string, Bucket>();
  #peers = new Map<string, PeerReport>();

  /** `countNodes` returns the number of live nodes, this one included. */
  constructor(clock: Clock, countNodes: () => number) {
    this.#clock = clock;
    this.#countNodes = countNodes;
  }

  /** The number of accounts that have a bucket. */
  get accountCount(): number {
    return this.#buckets.size;
  }

  /** Charges a request that begins, or refuses it. */
  begin(rule: AccountRule, tokens: number): Result<Unit, Refusal> {
    const bucket = this.#getBucket(rule);
    const waitMs = this.#computeWaitMs(rule, bucket);
    if (waitMs > 0) {
      return Result.err(
        new Refusal(
          "account-limit",
          "not-run",
          `client account ${rule.name} has reached its limit`,
          Math.ceil(waitMs),
        ),
      );
    }
    bucket.availableRequests--;
    bucket.availableTokens -= tokens;
    bucket.unreportedRequests++;
    bucket.unreportedTokens += tokens;
    bucket.streams++;
    return Result.ok(Unit);
  }

  /** Ends a request and replaces its token estimate by the real number. */
  end(account: string, estimate: number, tokens: number): void {
    const bucket = this.#buckets.get(account);
    if (bucket !== undefined) {
      bucket.streams--;
      bucket.availableTokens += estimate - tokens;
      bucket.unreportedTokens += tokens - estimate;
    }
  }

  /** Returns the usage since the last report and removes idle accounts. */
  takeReport(rules: ReadonlyMap<string, AccountRule>): AccountUsage[] {
    const report: AccountUsage[] = [];
    for (const [account, bucket] of this.#buckets) {
      const rule = rules.get(account);
      const {
        unreportedRequests: requests,
        unreportedTokens: tokens,
        streams,
      } = bucket;
      if (requests !== 0 || tokens !== 0 || streams > 0) {
        report.push({ account, requests, tokens, streams });
      }
      bucket.unreportedRequests = 0;
      bucket.unreportedTokens = 0;
      bucket.reportedStreams = streams;
      if (rule === undefined || this.#isIdle(rule, bucket)) {
        this.#buckets.delete(account);
      }
    }
    return report;
  }

  /** Charges the usage that a peer reports; a repeated report is ignored. */
  applyReport(
    node: string,
    sequence: number,
    report: readonly AccountUsage[],
    rules: ReadonlyMap<string, AccountRule>,
  ): void {
    const known = this.#peers.get(node);
    if (known !== undefined && known.sequence >= sequence) {
      return;
    }
    const streams = new Map<string, PeerStreams>();
    for (const { account, requests, tokens, ...running } of report) {
      const rule = rules.get(account);
      if (rule !== undefined) {
        const bucket = this.#getBucket(rule);
        bucket.availableRequests -= requests;
        bucket.availableTokens -= tokens;
        const count = running.streams;
        const users = running.users ?? Math.min(1, count);
        streams.set(account, { count, users });
      }
    }
    const receivedAt = this.#clock.now();
    this.#peers.set(node, { sequence, receivedAt, streams });
  }

  #getBucket(rule: AccountRule): Bucket {
    const now = this.#clock.now();
    let bucket = this.#buckets.get(rule.name);
    if (bucket === undefined) {
      bucket = {
        availableRequests: computeBurst(rule.requests),
        availableTokens: computeBurst(rule.tokens),
        refilledAt: now,
        streams: 0,
        unreportedRequests: 0,
        unreportedTokens: 0,
        reportedStreams: 0,
      };
      this.#buckets.set(rule.name, bucket);
    }
    refill(rule, bucket, now);
    return bucket;
  }

  #computeWaitMs(rule: AccountRule, bucket: Bucket): number {
    const requestWaitMs = (1 - bucket.availableRequests) / rule.requests * 1000;
    const tokenWaitMs = (1 - bucket.availableTokens) / rule.tokens * 1000;
    const streamWaitMs = this.#hasFreeStream(rule, bucket) ? 0 : BURST_MS;
    return Math.max(requestWaitMs, tokenWaitMs, streamWaitMs);
  }

  #hasFreeStream(rule: AccountRule, bucket: Bucket): boolean {
    let remoteStreams = 0;
    let users = 1;
    const now = this.#clock.now();
    for (const [node, peer] of this.#peers) {
      if (now - peer.receivedAt > PEER_TIMEOUT_MS) {
        this.#peers.delete(node);
        continue;
      }
      const running = peer.streams.get(rule.name);
      users += running?.users ?? 0;
      remoteStreams += running?.count ?? 0;
    }
    const freeStreams = rule.streams - remoteStreams - bucket.reportedStreams;
    // A peer without streams of the account may open some at the same time, so
    // a node takes all free streams only if it is alone.
    const parts = Math.max(
      users,
      Math.min(MIN_STREAM_PARTS, this.#countNodes()),
    );
    const newStreams = Math.ceil(Math.max(0, freeStreams) / parts);
    const allowed = bucket.reportedStreams + newStreams;
    return bucket.streams < allowed;
  }

  #isIdle(rule: AccountRule, bucket: Bucket): boolean {
    refill(rule, bucket, this.#clock.now());
    return bucket.streams === 0 &&
      bucket.availableRequests >= computeBurst(rule.requests) &&
      bucket.availableTokens >= computeBurst(rule.tokens);
  }
}

function computeBurst(rate: number): number {
  return Math.max(1, rate * BURST_MS / 1000);
}

function refill(rule: AccountRule, bucket: Bucket, now: number): void {
  const seconds = (now - bucket.refilledAt) / 1000;
  bucket.refilledAt = now;
  bucket.availableRequests = Math.min(
    computeBurst(rule.requests),
    bucket.availableRequests + rule.requests * seconds,
  );
  bucket.availableTokens = Math.min(
    computeBurst(rule.tokens),
    bucket.availableTokens + rule.tokens * seconds,
  );
}
