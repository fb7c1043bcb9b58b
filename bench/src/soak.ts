/**
 * `npm run soak -- --seeds N --first S`: plays seeds of the fault soak and
 * prints one line for each; a red one says how it is played again. With
 * `--faulty`, upstreams and the store also say what is wrong or has no end;
 * with `--evacuate`, a data centre is evacuated among the faults; with
 * `--stops`, nodes stop and start as planned and nothing fails.
 *
 * @module
 */
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { DATA_CENTRES, EVACUATION, EVACUATIONS } from "./soak/evacuations.ts";
import { FAULTS, FAULTY_UPSTREAMS } from "./soak/faults.ts";
import { LIST_FAULTS } from "./soak/list-faults.ts";
import { COPY_RESTORED, OUTAGES } from "./soak/outages.ts";
import { playSeed } from "./soak/soak.ts";
import { playStops } from "./soak/stops.ts";

const FAULTS_MS = 10_000;

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "10" },
    first: { type: "string", default: "1" },
    nodes: { type: "string", default: "3" },
    faulty: { type: "boolean", default: false },
    evacuate: { type: "boolean", default: false },
    stops: { type: "boolean", default: false },
  },
});
const first = Number(values.first);
const faults = {
  ...FAULTS,
  ...OUTAGES,
  ...(values.faulty ? { ...FAULTY_UPSTREAMS, ...LIST_FAULTS } : {}),
  ...(values.evacuate ? EVACUATIONS : {}),
};
let red = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  const folder = join(tmpdir(), `zinniahill-soak-${process.pid}-${seed}`);
  const plan = {
    seed,
    nodes: Number(values.nodes),
    faultsMs: FAULTS_MS,
    folder,
  };
  const { begun, calls, whole, violations, standstills } = values.stops
    ? await playStops(plan)
    : await playSeed({
      ...plan,
      faults,
      lastFault: COPY_RESTORED,
      ...(values.evacuate
        ? { dataCentres: DATA_CENTRES, firstFault: EVACUATION }
        : {}),
    });
  console.log(
    `seed ${seed}: ${begun.length} faults, ${whole} of ${calls} calls ` +
      `whole, ${violations.length} promises broken`,
  );
  if (violations.length > 0) {
    red++;
    violations.forEach(({ promise, detail }) =>
      console.log(`  ${promise}: ${detail}`)
    );
    console.log(`  faults: ${begun.join(", ")}`);
    const times = standstills.map(({ from, until }) =>
      `${Math.round(until - from)} ms at ${Math.round(from)} ms`
    );
    console.log(
      `  the soak itself stood still: ${times.join(", ") || "never"}`,
    );
    console.log(
      `  logs: ${folder}; again: npm run soak -- --seeds 1 --first ${seed}` +
        ` --nodes ${values.nodes}` + (values.faulty ? " --faulty" : "") +
        (values.evacuate ? " --evacuate" : "") +
        (values.stops ? " --stops" : ""),
    );
  }
}
console.log(`${values.seeds} seeds, ${red} red`);
process.exit(red > 0 ? 1 : 0);
