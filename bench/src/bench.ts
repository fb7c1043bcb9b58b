/**
 * `npm run bench`: measurements, one JSON object a line.
 *
 * @module
 */
import { measureAffinity, measureEviction } from "./policy/affinity.ts";
import { measureCost } from "./policy/cost.ts";
import { measureFairness } from "./policy/fairness.ts";
import { measureRetries, measureStragglers } from "./policy/faults.ts";
import { measureLimits } from "./policy/limits.ts";
import { measureRanks } from "./policy/ranks.ts";

type Measurement = () => Promise<void> | void;

const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  ranks: measureRanks,
  fairness: measureFairness,
  limits: measureLimits,
  affinity: measureAffinity,
  eviction: measureEviction,
  stragglers: measureStragglers,
  retries: measureRetries,
  cost: measureCost,
};

const wanted = process.argv.slice(2);
const unknown = wanted.filter((name) => !Object.hasOwn(MEASUREMENTS, name));
if (unknown.length > 0) {
  console.error(`unknown measurement ${unknown.join(", ")}`);
  process.exit(2);
}
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (wanted.length === 0 || wanted.includes(name)) {
    await measure();
  }
}
