/**
 * Groups whose members may join another group.
 *
 * The list of instances only proposes hosts: it may be seconds old, above all
 * for a node that has just started. So a group ends by what its lead has said
 * or what this node has ordered.
 *
 * @module
 */
import { mayReplaceMembership } from "@zinniahill/policy";
import { dropOldest } from "../drop-oldest.ts";
import {
  createGroupKey,
  type Group,
  isWarmingName,
  parseGroupLead,
} from "../hosts/groups.ts";
import type { Membership } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { HolderElector } from "./holder-elector.ts";

/** Name and epoch of a group. */
export type GroupIdentity = Pick<Group, "name" | "epoch">;

/** More than the groups of any deployment in a day. */
const MAX_GROUPS = 4096;

/** Knows groups that were never ordered to open, and those that have ended. */
export class ReplaceableGroups {
  #elector: HolderElector;
  /** Keys of groups whose lead has said that it left them, or has ended. */
  #left = new Set<string>();
  /**
   * Names of groups that this node began to form but has not ordered to open,
   * with its fencing number at the start of the formation.
   */
  #unopened = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#elector = kernel.find("holder");
  }

  /** Records that a formation begins. */
  recordFormation(name: string): void {
    this.#unopened.set(name, this.#elector.fence);
    dropOldest(this.#unopened, MAX_GROUPS);
  }

  /** Records that the lead is ordered to open. */
  recordOpening(name: string): void {
    this.#unopened.delete(name);
  }

  /**
   * Whether no node has ordered the group to open. If placement has moved since
   * the formation began, another node may have done so, so the result is false.
   */
  isUnopened(name: string): boolean {
    return this.#unopened.get(name) === this.#elector.fence;
  }

  /** Records that the lead has left the group or has ended. */
  recordLeft({ name, epoch }: GroupIdentity): void {
    this.#left.add(createGroupKey(name, epoch));
    dropOldest(this.#left, MAX_GROUPS);
  }

  /** Forgets the end of a group whose lead states that it is a member. */
  forgetLeft({ name, epoch }: GroupIdentity): void {
    this.#left.delete(createGroupKey(name, epoch));
  }

  /** Whether the lead of a group has left it or has ended. */
  hasLeft({ name, epoch }: GroupIdentity): boolean {
    return this.#left.has(createGroupKey(name, epoch));
  }

  /** Whether a host that states this membership may join another group. */
  includes({ group: name, epoch, state }: Membership): boolean {
    return mayReplaceMembership({
      isServing: state === "open" || state === "closing",
      isWarming: isWarmingName(name),
      isUnopened: this.isUnopened(name),
      hasLeadLeft: this.hasLeft({ name, epoch }),
      namesLead: parseGroupLead(name) !== undefined,
    });
  }

  dump(): unknown {
    return { left: [...this.#left], unopened: [...this.#unopened.keys()] };
  }
}
