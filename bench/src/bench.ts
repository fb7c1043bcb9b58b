/**
 * `npm run bench`: measurements, one JSON object a line.
 *
 * @module
 */
import { measureRanks } from "./policy/ranks.ts";

type Measurement = () => Promise<void> | void;

const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  ranks: measureRanks,
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
