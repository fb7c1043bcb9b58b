/**
 * Evacuation of a data centre: until when its upstreams may get requests.
 *
 * @module
 */

/** What a node knows of one data centre; all times are of one clock. */
export interface EvacuationState {
  /** When this node learned of the evacuation. */
  readonly beganAt: number;
  /** Until when requests that no other data centre can take are sent there. */
  readonly lastResortUntil: number;
  /** When this node learned of the end; undefined while it is evacuated. */
  readonly endedAt: number | undefined;
}

/** What a node knows when it reads an operator's record. */
export interface EvacuationContext {
  readonly now: number;
  /** The time up to which this node has read all records. */
  readonly completeAt: number;
  /** Time after the record in which the last request may arrive there. */
  readonly boundMs: number;
}

/** The state that follows from a record, and what it changed. */
export interface EvacuationOutcome {
  readonly state: EvacuationState | undefined;
  readonly change: "began" | "ended" | undefined;
}

/** Use of an upstream, the least restricted one first. */
const UPSTREAM_USES = ["any", "lastResort", "none"] as const;
/**
 * Which requests an upstream may get: any, only those that no other data centre
 * can take, or none.
 */
export type UpstreamUse = typeof UPSTREAM_USES[number];

const LAST_RESORT_SHARE = 2 / 5;
/** The rest of the bound is left to connect and to send what was selected. */
const LAST_SELECTION_SHARE = 4 / 5;

/**
 * Applies a record, or its deletion, to the state of its data centre.
 *
 * A node that reads the record late does not know when it was written, only
 * that it was after `completeAt`. So it is no last resort for longer than the
 * bound allows from then on; for a node that starts, that is not at all. A
 * record that is written again extends nothing.
 */
export function reduceEvacuation(
  state: EvacuationState | undefined,
  isEvacuated: boolean,
  { now, completeAt, boundMs }: EvacuationContext,
): EvacuationOutcome {
  const wasEvacuated = isStanding(state);
  if (isEvacuated === wasEvacuated) {
    return { state, change: undefined };
  }
  if (!isEvacuated) {
    return { state: { ...state!, endedAt: now }, change: "ended" };
  }
  const lastResortUntil = Math.min(
    now + boundMs * LAST_RESORT_SHARE,
    completeAt + boundMs * LAST_SELECTION_SHARE,
  );
  return {
    state: { beganAt: now, lastResortUntil, endedAt: undefined },
    change: "began",
  };
}

/** Whether the data centre is evacuated. */
export function isStanding(state: EvacuationState | undefined): boolean {
  return state !== undefined && state.endedAt === undefined;
}

/** Which requests the upstreams of a data centre may get. */
export function getUse(
  state: EvacuationState | undefined,
  now: number,
): UpstreamUse {
  if (state === undefined || !isStanding(state)) {
    return "any";
  }
  return now < state.lastResortUntil ? "lastResort" : "none";
}

/** The use of an upstream that is in several data centres. */
export function restrictUse(uses: readonly UpstreamUse[]): UpstreamUse {
  const ranks = uses.map((use) => UPSTREAM_USES.indexOf(use));
  return UPSTREAM_USES[Math.max(0, ...ranks)]!;
}
