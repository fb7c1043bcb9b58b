/**
 * How soon a free host can serve a model.
 *
 * @module
 */
import type { FreeHost } from "./group-plan-input.ts";

/** Relative time until a host can serve a model; lower is sooner. */
export const JoinCost = {
  modelInMemory: 0,
  staged: 1,
  staging: 2,
  empty: 3,
  otherModel: 4,
} as const;

/** Returns the relative time until a host can serve a model. */
export function getJoinCost(
  { modelInMemory, warmedModel, staged, staging }: FreeHost,
  model: string,
): number {
  if (modelInMemory === model || warmedModel === model) {
    return JoinCost.modelInMemory;
  }
  if (staged.includes(model)) {
    return JoinCost.staged;
  }
  if (staging === model) {
    return JoinCost.staging;
  }
  const isEmpty = modelInMemory === undefined && staged.length === 0 &&
    staging === undefined;
  return isEmpty ? JoinCost.empty : JoinCost.otherModel;
}

/** Whether a host must load the model's weights from the weight store. */
export function mustLoad(host: FreeHost, model: string): boolean {
  return getJoinCost(host, model) > JoinCost.staging;
}

/** Whether a host holds the model's weights in memory or staged. */
export function holdsWeights(host: FreeHost, model: string): boolean {
  return getJoinCost(host, model) <= JoinCost.staged;
}
