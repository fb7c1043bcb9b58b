/**
 * Limits on conversions: room for the callers of each model, and no flapping.
 *
 * @module
 */
import type { Conversion } from "./conversion.ts";
import type { GroupPlanInput } from "./group-plan-input.ts";

/**
 * Work per group up to which a model has room for swings of its demand: a spike
 * of half of its requests still fits.
 */
export const MAX_WORK_WITH_ROOM = 0.6;
/** The same after the loss of one more group, which is rare and short. */
const MAX_WORK_AFTER_LOSS = 0.85;
/** A model gives up its room for one with this many times its work per group. */
const OVERLOAD_RATIO = 1.5;
/** A model with less work per group does not miss a group that was lost. */
const MIN_WORK_FOR_REPAIR = 0.25;
/** The least ratio of work per group that is worth it without a repair. */
const MIN_RATIO_FOR_LOADS = 1.3;
/** With fewer groups, the loss of one takes half of the capacity. */
const MIN_REMAINING = 3;
/** Groups of one model that end at the same time. */
const MAX_ENDING_SHARE = 0.15;
/** Time before hosts go back to the model that they were taken from. */
const REVERSAL_MS = 30_000;
const MIN_INTERVAL_MS = 1000;
/** Several times the time in which the estimate of the demand decays. */
const MIN_LOADS_INTERVAL_MS = 15_000;
/** The same for a conversion that saves a large part of the cost. */
const MIN_URGENT_INTERVAL_MS = 4000;
const URGENT_GAIN = 0.3;
/** The demand is not known yet while it keeps fewer groups busy. */
const MIN_BUSY_GROUPS = 0.5;

type Candidate = Omit<Conversion, "gain">;

/** Whether a conversion leaves room for callers and reverses no recent one. */
export function isConversionAllowed(
  input: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  conversion: Candidate,
): boolean {
  const { from, to, fabricDomain, groups, isRepair } = conversion;
  // Groups that are being formed cannot take the requests of those that end.
  const count = input.convertibleGroups
    .filter(({ model }) => model === from).length;
  const remaining = count - groups.length;
  const estimate = (model: string, groups: number) =>
    estimateWorkPerGroup(input, new Map([[model, groups]]), model);
  const workPerGroup = estimate(from, remaining);
  const workPerGroupTo = estimateWorkPerGroup(input, groupCounts, to);
  const hasRoom = remaining >= MIN_REMAINING &&
    (workPerGroup * OVERLOAD_RATIO <= workPerGroupTo ||
      workPerGroup <= MAX_WORK_WITH_ROOM &&
        estimate(from, remaining - 1) <= MAX_WORK_AFTER_LOSS);
  const ending = input.pastConversions
    .filter((past) => past.isInProgress && past.from === from)
    .reduce((sum, { endedGroups }) => sum + endedGroups, 0);
  const isWithinShare = ending === 0 ||
    ending + groups.length <= count * MAX_ENDING_SHARE;
  const isReversal = input.pastConversions.some((past) =>
    past.from === to && past.to === from && past.ageMs < REVERSAL_MS
  );
  const isInProgress = input.pastConversions.some((past) =>
    past.isInProgress && past.fabricDomain === fabricDomain
  );
  return input.busyGroups >= MIN_BUSY_GROUPS && hasRoom && isWithinShare &&
    !isReversal && !isInProgress &&
    (isRepair ? workPerGroupTo >= MIN_WORK_FOR_REPAIR : (
      input.returningHosts.size === 0 &&
      workPerGroupTo >= MAX_WORK_WITH_ROOM &&
      workPerGroupTo >= workPerGroup * MIN_RATIO_FOR_LOADS
    ));
}

/** The part of its time in which a group of the model is busy. */
export function estimateWorkPerGroup(
  { demandShares, busyGroups }: GroupPlanInput,
  groupCounts: ReadonlyMap<string, number>,
  model: string,
): number {
  const work = (demandShares.get(model) ?? 0) * busyGroups;
  return work / Math.max(1, groupCounts.get(model) ?? 0);
}

/** Whether enough time has passed since the last conversion. */
export function isConversionDue(
  { pastConversions }: GroupPlanInput,
  { isRepair, gain }: Conversion,
): boolean {
  const loadsIntervalMs = gain >= URGENT_GAIN
    ? MIN_URGENT_INTERVAL_MS
    : MIN_LOADS_INTERVAL_MS;
  return pastConversions.every((past) =>
    past.ageMs >= MIN_INTERVAL_MS &&
    (isRepair || past.isRepair || past.ageMs >= loadsIntervalMs)
  );
}
