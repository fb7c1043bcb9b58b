/**
 * Decides whether a host may be ordered into another group.
 *
 * @module
 */

/** What is known of the group that a host states in its own report. */
export interface ReportedGroup {
  /** Whether the lead is serving requests, or may be. */
  readonly isServing: boolean;
  /** Whether the group only loads the weights of a spare, and never opens. */
  readonly isWarming: boolean;
  /** Whether no node has ordered the group to open. */
  readonly isUnopened: boolean;
  /** Whether the lead has left the group or its process has ended. */
  readonly hasLeadLeft: boolean;
  /** Whether the group's name says which process leads it. */
  readonly namesLead: boolean;
}

/**
 * Whether a join may replace the membership in a group. A join takes effect
 * whatever the group does, and a lead that is open without its members stalls
 * all of its requests.
 */
export function mayReplaceMembership(
  { isServing, isWarming, isUnopened, hasLeadLeft, namesLead }: ReportedGroup,
): boolean {
  return isWarming || hasLeadLeft || !namesLead || isUnopened && !isServing;
}
