/**
 * `npm run matrix`: every fault at every step, one row each.
 *
 * `--row <id>` runs one row, `--without <mechanism>` takes a mechanism away,
 * `--processes` runs the rows with real processes instead.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { measure } from "./matrix/measurements.ts";
import { type MechanismName, MECHANISMS } from "./matrix/mechanisms.ts";
import { runProcessRows } from "./matrix/processes.ts";
import { readKnownRows, Report } from "./matrix/report.ts";
import { ROWS } from "./matrix/rows.ts";
import { runRows } from "./matrix/workers.ts";

const USAGE_EXIT_CODE = 2;

const { values } = parseArgs({
  options: {
    without: { type: "string", default: "nothing" },
    row: { type: "string" },
    processes: { type: "boolean", default: false },
  },
});
if (!isMechanism(values.without)) {
  console.error(`--without: one of ${Object.keys(MECHANISMS).join(", ")}`);
  process.exit(USAGE_EXIT_CODE);
}
process.exit(
  values.processes
    ? await runProcesses()
    : await runInMemory(values.without, values.row),
);

async function runInMemory(
  without: MechanismName,
  id: string | undefined,
): Promise<number> {
  const rows = ROWS.filter((row) => id === undefined || row.id === id);
  const report = new Report(readKnownRows());
  for await (const result of runRows(rows, without)) {
    report.add(result);
  }
  report.summarize();
  const isWhole = id === undefined && without === "nothing";
  for await (const measurement of isWhole ? measure() : []) {
    console.log(JSON.stringify(measurement));
  }
  return report.exitCode;
}

async function runProcesses(): Promise<number> {
  let exitCode = 0;
  for await (const { id, violations } of runProcessRows()) {
    console.log(`${id} ${violations.length === 0 ? "kept" : "BROKEN"}`);
    for (const violation of violations) {
      console.log(`  ${violation}`);
      exitCode = 1;
    }
  }
  return exitCode;
}

function isMechanism(name: string): name is MechanismName {
  return Object.hasOwn(MECHANISMS, name);
}
