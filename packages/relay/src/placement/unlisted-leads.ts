/**
 * Decides whether leads are gone that the store no longer lists, or whose
 * process has ended before that.
 *
 * A lead that no node reaches may still be open and in touch with its members.
 * It is gone only if it says so itself; otherwise its members have to leave
 * before they join other groups.
 *
 * @module
 */
import { type Clock, describeError, type Logger } from "@zinniahill/kernel";
import { dropOldest } from "../drop-oldest.ts";
import type { EngineControl } from "../adapter.ts";
import type { Feeds } from "../feeds/feeds.ts";
import {
  createGroupKey,
  type Group,
  type InstanceEndpoint,
  parseGroupLead,
} from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { HolderElector } from "./holder-elector.ts";
import type { LeadRelease } from "./lead-release.ts";
import { isMemberOf, type OrderSender } from "./order-sender.ts";
import type { ReplaceableGroups } from "./replaceable-groups.ts";

/** Time after which entries that expired in a store outage are listed again. */
export const RELISTING_MS = 2500;
/** An unlisted lead that no node reaches is tried again after this time. */
const ABSENCE_CONFIRMATION_MS = 1000;
/** Some nodes have not confirmed the end of a process; they are asked again. */
const ENDED_RETRY_MS = 200;
/** A host that is up answers within a few milliseconds. */
const REPLY_TIMEOUT_MS = 200;
/** A lead whose entry does not name the group is asked again after this time. */
const LISTED_RETRY_MS = 400;
/** More than the groups of any deployment in a day. */
const MAX_GROUPS = 4096;

/**
 * Status of an unlisted lead: `gone`; `may-return` to the list; or `unknown`,
 * so that it has to be queried.
 */
export type LeadStatus = "gone" | "may-return" | "unknown";

/** Determines whether unlisted leads are gone. */
export class UnlistedLeads {
  #clock: Clock;
  #logger: Logger;
  #stallMs: number;
  #feeds: Feeds;
  #instances: Instances;
  #engines: EngineControl;
  #elector: HolderElector;
  #leadRelease: LeadRelease;
  #orderSender: OrderSender;
  #replaceableGroups: ReplaceableGroups;
  /** When a lead whose entry does not name the group is asked again. */
  #askAt = new Map<string, number>();
  /** Since when no node has been known to reach the lead, by group. */
  #unreachableSince = new Map<string, number>();

  constructor(
    kernel: RelayKernel,
    orderSender: OrderSender,
    replaceableGroups: ReplaceableGroups,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#stallMs = kernel.find("settings").limits.stallMs;
    this.#feeds = kernel.find("feeds");
    this.#instances = kernel.find("instances");
    this.#engines = kernel.find("engines");
    this.#elector = kernel.find("holder");
    this.#leadRelease = kernel.find("leadRelease");
    this.#orderSender = orderSender;
    this.#replaceableGroups = replaceableGroups;
    this.#instances.onInstance((instance) => this.#forget(instance));
  }

  /**
   * Returns the status of the lead of a group without a listed lead. An entry
   * that does not name the group is no proof: it may be older than the group.
   */
  getStatus({ name, epoch }: Group): LeadStatus {
    const lead = parseGroupLead(name);
    if (
      lead === undefined || this.#replaceableGroups.hasLeft({ name, epoch })
    ) {
      return "gone";
    }
    const isListed = this.#instances.hasEntry(lead.id);
    const askAt = this.#askAt.get(createGroupKey(name, epoch)) ?? -Infinity;
    return !isListed && this.#feeds.sinceOutageMs("instances") < RELISTING_MS ||
        isListed && this.#clock.now() < askAt
      ? "may-return"
      : "unknown";
  }

  /**
   * Asks a listed lead whether it is in the group. Orders one that is not
   * listed to leave, as it may still serve and only be disconnected from the
   * store. If no node reaches it, the members are ordered to leave in its
   * place.
   */
  async release(group: Group, signal: AbortSignal): Promise<void> {
    const { name, epoch } = group;
    const lead = parseGroupLead(name);
    if (lead === undefined) {
      return;
    }
    if (
      this.#instances.hasEntry(lead.id) &&
      !await this.#hasListedLeadEnded(group, lead, signal)
    ) {
      return;
    }
    const outcome = await this.#leadRelease
      .release(lead, name, epoch, this.#elector.fence, signal);
    const key = createGroupKey(name, epoch);
    if (outcome === "left") {
      this.#replaceableGroups.recordLeft(group);
    }
    // The lead may have been listed again while it was tried.
    const isListed = this.#instances.hasEntry(lead.id);
    if (outcome === "left" || outcome === "present" || isListed) {
      this.#unreachableSince.delete(key);
      return;
    }
    const now = this.#clock.now();
    const since = this.#unreachableSince.get(key) ?? now;
    this.#unreachableSince.set(key, since);
    // A lead that too few nodes have tried may serve the others.
    const minUnreachableMs = outcome === "absent"
      ? ABSENCE_CONFIRMATION_MS
      : this.#stallMs;
    if (now - since >= minUnreachableMs) {
      await Promise.all(
        group.members.map(({ id }) => this.#releaseMember(group, id, signal)),
      );
    }
  }

  /**
   * Lets all nodes confirm that the process of a lead has ended that the store
   * still lists. One node alone may only be cut off from it.
   */
  async releaseEnded(group: Group, signal: AbortSignal): Promise<void> {
    const { name, epoch, lead } = group;
    const isListed = () =>
      lead !== undefined &&
      this.#instances.find(lead.id)?.bornAt === lead.bornAt;
    while (lead !== undefined && isListed() && this.#elector.isHolder) {
      const outcome = await this.#leadRelease
        .release(lead, name, epoch, this.#elector.fence, signal);
      if (outcome === "left") {
        this.#replaceableGroups.recordLeft(group);
      }
      if (outcome === "left" || outcome === "present") {
        return;
      }
      await this.#clock.sleep(ENDED_RETRY_MS, signal);
    }
  }

  dump(): unknown {
    return {
      unreachable: [...this.#unreachableSince.keys()],
    };
  }

  /**
   * Asks a lead whose entry does not name the group, and returns whether its
   * process has ended. The lead is not ordered to leave: the group may be sound.
   */
  async #hasListedLeadEnded(
    group: Group,
    lead: InstanceEndpoint,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { name, epoch } = group;
    const report = await this.#engines
      .requestReport(lead, REPLY_TIMEOUT_MS, signal);
    signal.throwIfAborted();
    const { membership } = report.unwrapOr(undefined)?.engine ?? {};
    const isMember = isMemberOf(membership, name, epoch);
    if (report.isOk && !isMember) {
      this.#replaceableGroups.recordLeft(group);
    } else {
      this.#askAt.set(
        createGroupKey(name, epoch),
        this.#clock.now() + LISTED_RETRY_MS,
      );
      dropOldest(this.#askAt, MAX_GROUPS);
    }
    this.#logger.info("listed_lead_asked", {
      group: name,
      epoch,
      lead: lead.id,
      is_member: isMember,
      state: membership?.state,
      error: report.isErr ? report.error.message : undefined,
    });
    return report.isErr && report.error.isGone === true;
  }

  /** Orders a member to leave; one that does not answer is tried again later. */
  async #releaseMember(
    { name, epoch }: Group,
    id: string,
    signal: AbortSignal,
  ): Promise<void> {
    let error: string | undefined;
    try {
      await this.#orderSender.send(
        id,
        { kind: "leave", group: name, epoch },
        ({ engine }) => !isMemberOf(engine.membership, name, epoch),
        signal,
      );
    } catch (failure) {
      signal.throwIfAborted();
      error = describeError(failure);
    }
    this.#logger.info("member_released", {
      group: name,
      epoch,
      member: id,
      has_left: error === undefined,
      error,
    });
  }

  /** Forgets what was believed of a lead that is listed in its group. */
  #forget({ engine }: Instance): void {
    const membership = engine?.membership;
    if (membership?.rank === 0) {
      const { group: name, epoch } = membership;
      this.#replaceableGroups.forgetLeft({ name, epoch });
      this.#unreachableSince.delete(createGroupKey(name, epoch));
    }
  }
}
