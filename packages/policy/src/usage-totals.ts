/**
 * Use of client accounts, added up along a tree of nodes.
 *
 * @module
 */
import type { AccountUsage } from "./account-limits.ts";

/** The key under which this node's own use is held; no node's name. */
const OWN = "\u0000";

interface Total {
  requests: number;
  tokens: number;
  streams: number;
  users: number;
}

/** Totals by client account. */
type Totals = Map<string, Total>;

interface Link {
  /** Use of this link's side that runs now. */
  streams: readonly AccountUsage[];
  /** Use of the other sides that was not sent to this link yet. */
  unsent: Totals;
  /** Whether the last message named an account. */
  hadUsage: boolean;
}

/**
 * Adds up the use on each side of each link. A link receives the use of all
 * other links and of this node, so that on a tree each use reaches each node
 * once, and a message has one entry for each active account.
 */
export class UsageTotals {
  #links = new Map<string, Link>([[OWN, createLink()]]);
  #parent = "";

  /** Notes what this node's callers used since the last report. */
  addOwnUsage(accounts: readonly AccountUsage[]): void {
    this.#note(OWN, accounts);
  }

  /** Notes what a link reports of its side; others are ignored. */
  addLinkUsage(node: string, accounts: readonly AccountUsage[]): void {
    if (node !== OWN && this.#links.has(node)) {
      this.#note(node, accounts);
    }
  }

  /**
   * Sets the links; the use of one that is gone runs no longer. A new parent is
   * told what the last one was not.
   */
  setLinks(nodes: readonly string[], parent: string): void {
    const kept = new Set([OWN, ...nodes]);
    const unsent = this.#links.get(this.#parent)?.unsent;
    for (const node of this.#links.keys()) {
      if (!kept.has(node)) {
        this.#links.delete(node);
      }
    }
    for (const node of kept) {
      if (!this.#links.has(node)) {
        this.#links.set(node, createLink());
      }
    }
    if (parent !== this.#parent) {
      const link = this.#links.get(parent);
      if (
        link !== undefined && unsent !== undefined && !kept.has(this.#parent)
      ) {
        link.unsent = unsent;
      }
      this.#parent = parent;
    }
  }

  /** Takes the use of all other nodes since the last call. */
  takeRemoteUsage(): AccountUsage[] | undefined {
    return this.takeUsageFor(OWN);
  }

  /**
   * Takes what a link is to be told; undefined when there is no use. An end of
   * all use is told once.
   */
  takeUsageFor(node: string): AccountUsage[] | undefined {
    const link = this.#links.get(node);
    if (link === undefined) {
      return undefined;
    }
    const totals = link.unsent;
    link.unsent = new Map();
    for (const [other, { streams }] of this.#links) {
      if (other !== node) {
        addStreams(totals, streams);
      }
    }
    const accounts = [...totals]
      .map(([account, total]) => ({ account, ...total }));
    const isNeeded = accounts.length > 0 || link.hadUsage;
    link.hadUsage = accounts.length > 0;
    return isNeeded ? accounts : undefined;
  }

  #note(node: string, accounts: readonly AccountUsage[]): void {
    const streams = accounts.filter((usage) => usage.streams > 0);
    this.#links.get(node)!.streams = streams;
    for (const [other, link] of this.#links) {
      if (other !== node) {
        addUse(link.unsent, accounts);
      }
    }
  }
}

function createLink(): Link {
  return { streams: [], unsent: new Map(), hadUsage: false };
}

function findTotal(totals: Totals, account: string): Total {
  const total = totals.get(account) ??
    { requests: 0, tokens: 0, streams: 0, users: 0 };
  totals.set(account, total);
  return total;
}

function addUse(totals: Totals, accounts: readonly AccountUsage[]): void {
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
