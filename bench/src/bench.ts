/**
 * `npm run bench`: measurements, one JSON object a line.
 *
 * @module
 */
import { measureIdleNodes } from "./capacity/idle-nodes.ts";
import { measureMemory } from "./capacity/memory.ts";
import { measurePath } from "./path/path-cost.ts";
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
  path: measurePath,
};

/** Measurements that take minutes and so run only when named. */
const NAMED_ONLY: Readonly<Record<string, Measurement>> = {
  capacity: async () => {
    measureMemory();
    await measureIdleNodes();
  },
};

const ALL = { ...MEASUREMENTS, ...NAMED_ONLY };

const wanted = process.argv.slice(2);
const unknown = wanted.filter((name) => !Object.hasOwn(ALL, name));
if (unknown.length > 0) {
  console.error(`unknown measurement ${unknown.join(", ")}`);
  process.exit(2);
}
const chosen = wanted.length === 0 ? Object.keys(MEASUREMENTS) : wanted;
for (const [name, measure] of Object.entries(ALL)) {
  if (chosen.includes(name)) {
    await measure();
  }
}
