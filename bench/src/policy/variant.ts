/**
 * What a run of the bench consists of.
 *
 * @module
 */
import type { PrefixStore } from "@zinniahill/policy";
import type { Rules } from "@zinniahill/schema";

/** What a run uses; a baseline switches one part off. */
export interface Variant {
  readonly admission: "ranked" | "fifo";
  readonly yields: boolean;
  readonly routing: "two-choices" | "random";
  readonly affinity: boolean;
  readonly ejection: boolean;
  readonly budget: boolean;
}

/** Everything that is built. */
export const FULL: Variant = {
  admission: "ranked",
  yields: true,
  routing: "two-choices",
  affinity: true,
  ejection: true,
  budget: true,
};

/** The size and the conditions of a run. */
export interface FleetOptions {
  readonly seed: number;
  readonly rules: Rules;
  readonly variant: Variant;
  readonly clientMs: number;
  readonly nodes?: number;
  readonly groups?: number;
  readonly cacheBlocks?: number;
  readonly createPrefixStore?: () => PrefixStore;
}
