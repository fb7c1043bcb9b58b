/**
 * Limits of a client account over all nodes together.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { type AccountRule, Refusal } from "@zinniahill/schema";
import { Result, Unit } from "true-myth";

/** What one node's callers of an account used since its last report. */
export interface AccountUsage {
  readonly account: string;
  readonly requests: number;
  readonly tokens: number;
  /** Streams that run at the time of the report. */
  readonly streams: number;
  /** Nodes that have these streams; one if it is missing. */
  readonly users?: number | undefined;
}

interface Usage {
  /** What may be used now; below 0 when nodes used more together. */
  requests: number;
  tokens: number;
  refilledAt: number;
  streams: number;
  /** Use since the last report. */
  newRequests: number;
  newTokens: number;
  /** Streams last reported to the peers. */
  reportedStreams: number;
}

interface PeerStreams {
  readonly count: number;
  readonly users: number;
}

interface PeerUsage {
  readonly sequence: number;
  readonly receivedAt: number;
  readonly streams: ReadonlyMap<string, PeerStreams>;
}

/** Requests and tokens may be saved up for this long. */
const BURST_MS = 1000;
/** Parts that free streams are divided into when other nodes live. */
const MIN_PARTS = 2;
/** A peer without a report for this long counts as lost. */
const PEER_VALIDITY_MS = 4000;

/**
 * A bucket for each active account, refilled at the account's full rate and
 * charged with the use of this node at once and of peers when they report it.
 * Buckets may go below zero, so excess is paid back: over any time t, n nodes
 * together use at most rate * t + n * rate * (burst + report interval + delay).
 * New streams between two reports are limited to a part of what is free: among
 * the nodes that have streams of the account, and at least two parts. So n nodes
 * that all start at the same moment reach at most n / 2 times the limit, until
 * the next report. Sides of a partition each apply the whole limit once their
 * peers count as lost.
 */
export class AccountLimits {
  #clock: Clock;
  #countNodes: () => number;
  #usage = new Map<string, Usage>();
  #peers = new Map<string, PeerUsage>();

  /** `countNodes` tells how many nodes live, this one included. */
  constructor(clock: Clock, countNodes: () => number) {
    this.#clock = clock;
    this.#countNodes = countNodes;
  }

  /** The number of accounts that are remembered. */
  get accountCount(): number {
    return this.#usage.size;
  }

  /** Counts a request that begins, or says why it may not. */
  begin(rule: AccountRule, tokens: number): Result<Unit, Refusal> {
    const usage = this.#findUsage(rule);
    const waitMs = this.#findWaitMs(rule, usage);
    if (waitMs > 0) {
      return Result.err(
        new Refusal(
          "account-limit",
          "not-run",
          `client account ${rule.name} is at its limit`,
          Math.ceil(waitMs),
        ),
      );
    }
    usage.requests--;
    usage.tokens -= tokens;
    usage.newRequests++;
    usage.newTokens += tokens;
    usage.streams++;
    return Result.ok(Unit);
  }

  /** Counts a request that ends, and replaces its estimate of tokens. */
  end(account: string, estimate: number, tokens: number): void {
    const usage = this.#usage.get(account);
    if (usage !== undefined) {
      usage.streams--;
      usage.tokens += estimate - tokens;
      usage.newTokens += tokens - estimate;
    }
  }

  /** The use since the last report; accounts that are idle are forgotten. */
  takeReport(rules: ReadonlyMap<string, AccountRule>): AccountUsage[] {
    const report: AccountUsage[] = [];
    for (const [account, usage] of this.#usage) {
      const rule = rules.get(account);
      const { newRequests: requests, newTokens: tokens, streams } = usage;
      if (requests !== 0 || tokens !== 0 || streams > 0) {
        report.push({ account, requests, tokens, streams });
      }
      usage.newRequests = 0;
      usage.newTokens = 0;
      usage.reportedStreams = streams;
      if (rule === undefined || this.#isIdle(rule, usage)) {
        this.#usage.delete(account);
      }
    }
    return report;
  }

  /** Charges what a peer reports; a repeated report is ignored. */
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
        const usage = this.#findUsage(rule);
        usage.requests -= requests;
        usage.tokens -= tokens;
        const count = running.streams;
        const users = running.users ?? Math.min(1, count);
        streams.set(account, { count, users });
      }
    }
    const receivedAt = this.#clock.now();
    this.#peers.set(node, { sequence, receivedAt, streams });
  }

  #findUsage(rule: AccountRule): Usage {
    const now = this.#clock.now();
    let usage = this.#usage.get(rule.name);
    if (usage === undefined) {
      usage = {
        requests: getBurst(rule.requests),
        tokens: getBurst(rule.tokens),
        refilledAt: now,
        streams: 0,
        newRequests: 0,
        newTokens: 0,
        reportedStreams: 0,
      };
      this.#usage.set(rule.name, usage);
    }
    refill(rule, usage, now);
    return usage;
  }

  #findWaitMs(rule: AccountRule, usage: Usage): number {
    const requestWait = (1 - usage.requests) / rule.requests * 1000;
    const tokenWait = (1 - usage.tokens) / rule.tokens * 1000;
    const streamWait = this.#hasStream(rule, usage) ? 0 : BURST_MS;
    return Math.max(requestWait, tokenWait, streamWait);
  }

  #hasStream(rule: AccountRule, usage: Usage): boolean {
    let remote = 0;
    let users = 1;
    const now = this.#clock.now();
    for (const [node, peer] of this.#peers) {
      if (now - peer.receivedAt > PEER_VALIDITY_MS) {
        this.#peers.delete(node);
        continue;
      }
      const running = peer.streams.get(rule.name);
      users += running?.users ?? 0;
      remote += running?.count ?? 0;
    }
    const free = rule.streams - remote - usage.reportedStreams;
    // A peer without streams of the account may start some at the same time,
    // so a node never takes all that is free unless it is alone.
    const parts = Math.max(users, Math.min(MIN_PARTS, this.#countNodes()));
    const growth = Math.ceil(Math.max(0, free) / parts);
    const allowed = usage.reportedStreams + growth;
    return usage.streams < allowed;
  }

  #isIdle(rule: AccountRule, usage: Usage): boolean {
    refill(rule, usage, this.#clock.now());
    return usage.streams === 0 &&
      usage.requests >= getBurst(rule.requests) &&
      usage.tokens >= getBurst(rule.tokens);
  }
}

function getBurst(rate: number): number {
  return Math.max(1, rate * BURST_MS / 1000);
}

function refill(rule: AccountRule, usage: Usage, now: number): void {
  const seconds = (now - usage.refilledAt) / 1000;
  usage.refilledAt = now;
  usage.requests = Math.min(
    getBurst(rule.requests),
    usage.requests + rule.requests * seconds,
  );
  usage.tokens = Math.min(
    getBurst(rule.tokens),
    usage.tokens + rule.tokens * seconds,
  );
}
