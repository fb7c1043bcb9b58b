/**
 * Assigns the models of a domain's groups to its spares.
 *
 * @module
 */
import type { FreeHost, PlannedEngine } from "./group-plan-input.ts";
import { getJoinCost, JoinCost } from "./join-cost.ts";

/** Weights to be staged on a spare. */
export interface Staging {
  readonly host: string;
  readonly model: string;
  readonly loadPriority: number;
}

/** Staged weights that a spare loads into its memory. */
export interface Warming {
  readonly host: string;
  readonly model: string;
}

/** What the spares of a domain do to replace members of its groups sooner. */
export interface SparePreparation {
  readonly stagings: readonly Staging[];
  readonly warmings: readonly Warming[];
}

/** Spares load after the first four groups of each model. */
const STAGING_PRIORITY = 3.5;

/**
 * Assigns the models of the groups in a domain to its spares in turn, the model
 * with most hosts first, as its groups lose members most often. A spare with the
 * weights in memory joins a group sooner than its other members notice a loss;
 * with staged ones, the whole group waits for it.
 */
export function prepareSpares(
  engine: PlannedEngine,
  groupModels: readonly string[],
  spares: readonly FreeHost[],
): SparePreparation {
  const wantedModels = engine.models
    .filter(({ name }) => groupModels.includes(name))
    .sort((a, b) => b.hostCount - a.hostCount)
    .map(({ name }) => name);
  const unusedSpares = new Set(spares);
  const stagings: Staging[] = [];
  const warmings: Warming[] = [];
  for (let turn = 0; wantedModels.length > 0 && unusedSpares.size > 0; turn++) {
    const model = wantedModels[turn % wantedModels.length]!;
    const stagedSpare = [...unusedSpares].find((spare) =>
      isStagedFor(spare, model)
    );
    const host = stagedSpare ?? findSpareToStage(unusedSpares, wantedModels);
    if (host === undefined) {
      break;
    }
    unusedSpares.delete(host);
    if (stagedSpare === undefined) {
      const loadPriority = STAGING_PRIORITY +
        Math.floor(turn / wantedModels.length);
      stagings.push({ host: host.id, model, loadPriority });
    } else if (canWarm(host, model)) {
      warmings.push({ host: host.id, model });
    }
  }
  return { stagings, warmings };
}

function canWarm(host: FreeHost, model: string): boolean {
  return getJoinCost(host, model) === JoinCost.staged &&
    host.staging === undefined && !host.isSlow;
}

/** Weights in memory are as good as staged ones, and save a load. */
function isStagedFor(
  { modelInMemory, warmedModel, staged, staging }: FreeHost,
  model: string,
): boolean {
  return modelInMemory === model || warmedModel === model ||
    (staging ?? staged[0]) === model;
}

/** Finds a spare that is not staging and has fewest wanted models staged. */
function findSpareToStage(
  unusedSpares: ReadonlySet<FreeHost>,
  wantedModels: readonly string[],
): FreeHost | undefined {
  return [...unusedSpares]
    .filter(({ staging }) => staging === undefined)
    .sort((a, b) =>
      countWantedStaged(a, wantedModels) - countWantedStaged(b, wantedModels)
    )[0];
}

function countWantedStaged(
  { staged }: FreeHost,
  wantedModels: readonly string[],
): number {
  return staged.filter((model) => wantedModels.includes(model)).length;
}
