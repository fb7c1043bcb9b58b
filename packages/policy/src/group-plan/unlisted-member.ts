/**
 * Decides whether a formation waits for a member whose entry has expired.
 *
 * @module
 */

/** What a formation loses if it ends. */
export interface FormationProgress {
  /** Members that load weights, or that stage them. */
  readonly loads: number;
  /** Free hosts of the fabric domain that could join without a load. */
  readonly readySpares: number;
}

/**
 * Whether a formation waits for the entry of a member that answers. With a
 * spare and nothing to load, a new formation takes less than a second.
 */
export function awaitsUnlistedMember(
  { loads, readySpares }: FormationProgress,
): boolean {
  return loads > 0 || readySpares === 0;
}
