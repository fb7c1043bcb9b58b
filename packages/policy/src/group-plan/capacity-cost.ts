/**
 * What the number of groups of each model costs callers, and what a load costs.
 *
 * @module
 */
import type { GroupPlanInput } from "./group-plan-input.ts";

/** Groups assumed for a model without any, so that its cost stays finite. */
const MIN_GROUPS = 0.5;
const MS_PER_SECOND = 1000;

/**
 * The sum of the squares of work per group. It falls fastest by a group for the
 * model with most work per group, and for models with few large groups earlier
 * than the work per group alone would tell.
 */
export function estimateCost(
  demandShares: ReadonlyMap<string, number>,
  groupCounts: ReadonlyMap<string, number>,
): number {
  let cost = 0;
  for (const [model, share] of demandShares) {
    cost += (share / Math.max(groupCounts.get(model) ?? 0, MIN_GROUPS)) ** 2;
  }
  return cost;
}

/**
 * Time until a number of loads of a model's weights have ended. The loads of a
 * group that lacks few of its weights come before others, and wait only for one
 * in progress, half of which is over on average.
 */
export function computeLoadMs(
  { engine, pendingLoads }: GroupPlanInput,
  modelName: string,
  loads: number,
  isRepair: boolean,
): number {
  const { loadMs = 0, stagedLoadMs = 0 } =
    engine.models.find(({ name }) => name === modelName) ?? {};
  if (loads === 0) {
    return stagedLoadMs;
  }
  const isStoreBusy = pendingLoads >= engine.concurrentLoads;
  const turns = isRepair
    ? Math.ceil(loads / engine.concurrentLoads) + (isStoreBusy ? 0.5 : 0)
    : Math.ceil((loads + pendingLoads) / engine.concurrentLoads);
  const startMs = loads / engine.maxLoadsPerSecond * MS_PER_SECOND;
  return Math.max(turns * loadMs, startMs + loadMs);
}
