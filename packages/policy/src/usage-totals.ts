/**
 * Usage of client accounts, aggregated along a spanning tree of nodes.
 *
 * @module
 */
import type { AccountUsage } from "./account-limits.ts";

/** Key of this node's own usage; no node has this name. */
const OWN_LINK = "\u0000";

interface Total {
  requests: number;
  tokens: number;
  streams: number;
  users: number;
}

/** Totals by client account. */
type Totals = Map<string, Total>;

interface Link {
  /** Usage with open streams on this link's side. */
  streamUsage: readonly AccountUsage[];
  /** Usage of all other links that is not yet sent to this one. */
  unsent: Totals;
  /** Whether the last message contained an account. */
  hadUsage: boolean;
}

/**
 * Aggregates the usage on each side of each link. A link receives the usage of
 * all other links and of this node, so that on a tree each usage reaches each
 * node once, and a message has one entry for each active account.
 */
export class UsageTotals {
  #links = new Map<string, Link>([[OWN_LINK, createLink()]]);
  #parent = "";

  /** Adds the usage of this node's callers since the last report. */
  addOwnUsage(accounts: readonly AccountUsage[]): void {
    this.#addUsage(OWN_LINK, accounts);
  }

  /** Adds the usage that a link reports; unknown links are ignored. */
  addLinkUsage(node: string, accounts: readonly AccountUsage[]): void {
    if (node !== OWN_LINK && this.#links.has(node)) {
      this.#addUsage(node, accounts);
    }
  }

  /**
   * Sets the links; the streams behind a removed link no longer count. A new
   * parent receives the usage that was not yet sent to a lost one.
   */
  setLinks(nodes: readonly string[], parent: string): void {
    const linked = new Set([OWN_LINK, ...nodes]);
    const unsent = this.#links.get(this.#parent)?.unsent;
    for (const node of this.#links.keys()) {
      if (!linked.has(node)) {
        this.#links.delete(node);
      }
    }
    for (const node of linked) {
      if (!this.#links.has(node)) {
        this.#links.set(node, createLink());
      }
    }
    if (parent !== this.#parent) {
      const link = this.#links.get(parent);
      if (
        link !== undefined && unsent !== undefined && !linked.has(this.#parent)
      ) {
        link.unsent = unsent;
      }
      this.#parent = parent;
    }
  }

  /** Takes the usage of all other nodes since the last call. */
  takeRemoteUsage(): AccountUsage[] | undefined {
    return this.takeUsageFor(OWN_LINK);
  }

  /**
   * Takes the usage to send to a link; undefined if there is none. When usage
   * has ended, an empty list is returned once.
   */
  takeUsageFor(node: string): AccountUsage[] | undefined {
    const link = this.#links.get(node);
    if (link === undefined) {
      return undefined;
    }
    const totals = link.unsent;
    link.unsent = new Map();
    for (const [other, { streamUsage }] of this.#links) {
      if (other !== node) {
        addStreams(totals, streamUsage);
      }
    }
    const accounts = [...totals]
      .map(([account, total]) => ({ account, ...total }));
    const isNeeded = accounts.length > 0 || link.hadUsage;
    link.hadUsage = accounts.length > 0;
    return isNeeded ? accounts : undefined;
  }

  #addUsage(node: string, accounts: readonly AccountUsage[]): void {
    const streams = accounts.filter((usage) => usage.streams > 0);
    this.#links.get(node)!.streamUsage = streams;
    for (const [other, link] of this.#links) {
      if (other !== node) {
        addRequestsAndTokens(link.unsent, accounts);
      }
    }
  }
}

function createLink(): Link {
  return { streamUsage: [], unsent: new Map(), hadUsage: false };
}

function findTotal(totals: Totals, account: string): Total {
  const total = totals.get(account) ??
    { requests: 0, tokens: 0, streams: 0, users: 0 };
  totals.set(account, total);
  return total;
}

function addRequestsAndTokens(
  totals: Totals,
  accounts: readonly AccountUsage[],
): void {
  for (const { account, requests, tokens } of accounts) {
    if (requests !== 0 || tokens !== 0) {
      const total = findTotal(totals, account);
      total.requests += requests;
      total.tokens += tokens;
    }
  }
}

function addStreams(totals: Totals, accounts: readonly AccountUsage[]): void {
  for (const { account, streams, users } of accounts) {
    const total = findTotal(totals, account);
    total.streams += streams;
    total.users += users ?? 1;
  }
}
