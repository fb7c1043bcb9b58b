/**
 * How much the capacity of each data centre lacks for its own callers.
 *
 * @module
 */
import type { GroupPlanInput } from "./group-plan-input.ts";

/**
 * Smaller differences do not matter: each data centre peaks at another time, and
 * requests can be sent elsewhere.
 */
const STEP = 0.2;

/**
 * Returns the lack of each data centre, in steps: the part of a model's work
 * that its callers cause beyond the part of the groups that it has, for the
 * model that it lacks most.
 */
export function computeLack(
  { demandShares, workByDataCentre, dataCentres, groupCounts }: Pick<
    GroupPlanInput,
    "demandShares" | "workByDataCentre" | "dataCentres" | "groupCounts"
  >,
  modelsByDomain: ReadonlyMap<string, readonly string[]>,
): ReadonlyMap<string, number> {
  const lacks = new Map<string, number>();
  const allWork = [...workByDataCentre.values()];
  for (const [dataCentre, work] of workByDataCentre) {
    const localModels = [...modelsByDomain].flatMap(([domain, models]) =>
      dataCentres.get(domain) === dataCentre ? models : []
    );
    let lack = 0;
    for (const model of demandShares.keys()) {
      const total = allWork.reduce(
        (sum, others) => sum + (others.get(model) ?? 0),
        0,
      );
      const groups = localModels.filter((name) => name === model).length;
      const workPart = total === 0 ? 0 : (work.get(model) ?? 0) / total;
      const groupPart = groups / Math.max(1, groupCounts.get(model) ?? 0);
      lack = Math.max(lack, workPart - groupPart);
    }
    lacks.set(dataCentre, Math.floor(lack / STEP));
  }
  return lacks;
}
