/**
 * Decides whether leads that the store no longer lists are gone.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import { type Group, parseGroupLead } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { RelayKernel } from "../services.ts";
import type { HolderElector } from "./holder-elector.ts";
import type { LeadPresence, LeadRelease } from "./lead-release.ts";

/** Time after which entries that expired in a store outage are listed again. */
export const RELISTING_MS = 2500;
/** An unlisted lead that no node reaches is tried again after this time. */
const ABSENCE_CONFIRMATION_MS = 1000;

/**
 * Status of an unlisted lead: `gone`; `may-return` to the list; or `unknown`,
 * so that it has to be queried.
 */
export type LeadStatus = "gone" | "may-return" | "unknown";

/** Determines whether unlisted leads are gone. */
export class UnlistedLeads {
  #clock: Clock;
  #stallMs: number;
  #feeds: Feeds;
  #instances: Instances;
  #elector: HolderElector;
  #leadRelease: LeadRelease;
  /** Groups whose lead has left or counts as gone. */
  #goneGroups = new Set<string>();
  /** Since when no node has been known to reach the lead, by group. */
  #unreachableSince = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#stallMs = kernel.find("settings").limits.stallMs;
    this.#feeds = kernel.find("feeds");
    this.#instances = kernel.find("instances");
    this.#elector = kernel.find("holder");
    this.#leadRelease = kernel.find("leadRelease");
  }

  /** Returns the status of the lead of a group without a listed lead. */
  getStatus({ name }: Group): LeadStatus {
    const lead = parseGroupLead(name);
    if (this.#feeds.sinceOutageMs("instances") < RELISTING_MS) {
      return "may-return";
    }
    // A lead that is listed without the group has left it.
    const isGone = lead === undefined || this.#goneGroups.has(name) ||
      this.#instances.find(lead.id) !== undefined;
    return isGone ? "gone" : "unknown";
  }

  /**
   * Orders the lead to leave, as it may still serve and only be disconnected
   * from the store.
   */
  async release({ name, epoch }: Group, signal: AbortSignal): Promise<void> {
    const lead = parseGroupLead(name);
    if (lead === undefined) {
      return;
    }
    const outcome = await this.#leadRelease
      .release(lead, name, epoch, this.#elector.fence, signal);
    if (this.#isGone(name, outcome)) {
      this.#goneGroups.add(name);
    }
  }

  dump(): unknown {
    return {
      gone: [...this.#goneGroups],
      unreachable: [...this.#unreachableSince.keys()],
    };
  }

  /**
   * Whether a lead counts as gone. A lead that no node reaches may be
   * disconnected briefly, so it is tried twice. As long as too few nodes
   * answer, it is given the time after which its engine ends a stalled group
   * itself.
   */
  #isGone(name: string, outcome: LeadPresence): boolean {
    if (outcome === "left") {
      return true;
    }
    if (outcome === "present") {
      this.#unreachableSince.delete(name);
      return false;
    }
    const now = this.#clock.now();
    const since = this.#unreachableSince.get(name) ?? now;
    this.#unreachableSince.set(name, since);
    const minUnreachableMs = outcome === "absent"
      ? ABSENCE_CONFIRMATION_MS
      : this.#stallMs;
    return now - since >= minUnreachableMs;
  }
}
