/**
 * `npm run soak -- --seeds N --first S`: plays seeds of the fault soak and
 * prints one line for each; a red one says how it is played again.
 *
 * @module
 */
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { playSeed } from "./soak/soak.ts";

const FAULTS_MS = 10_000;

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "10" },
    first: { type: "string", default: "1" },
    nodes: { type: "string", default: "3" },
  },
});
const first = Number(values.first);
let red = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  const folder = join(tmpdir(), `zinniahill-soak-${process.pid}-${seed}`);
  const { faults, calls, whole, violations } = await playSeed({
    seed,
    nodes: Number(values.nodes),
    faultsMs: FAULTS_MS,
    folder,
  });
  console.log(
    `seed ${seed}: ${faults.length} faults, ${whole} of ${calls} calls ` +
      `whole, ${violations.length} promises broken`,
  );
  if (violations.length > 0) {
    red++;
    violations.forEach(({ promise, detail }) =>
      console.log(`  ${promise}: ${detail}`)
    );
    console.log(`  faults: ${faults.join(", ")}`);
    console.log(
      `  logs: ${folder}; again: npm run soak -- --seeds 1 --first ${seed}`,
    );
  }
}
console.log(`${values.seeds} seeds, ${red} red`);
process.exit(red > 0 ? 1 : 0);
