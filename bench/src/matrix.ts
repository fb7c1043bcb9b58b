/**
 * `npm run matrix`: every fault at every step, one row each.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { readKnownRows, Report } from "./matrix/report.ts";
import { ROWS } from "./matrix/rows.ts";
import { runRows } from "./matrix/workers.ts";
import { type MechanismName, MECHANISMS } from "./matrix/mechanisms.ts";

const USAGE_EXIT_CODE = 2;

const { values } = parseArgs({
  options: {
    without: { type: "string", default: "nothing" },
    row: { type: "string" },
  },
});
if (!isMechanism(values.without)) {
  console.error(`--without: one of ${Object.keys(MECHANISMS).join(", ")}`);
  process.exit(USAGE_EXIT_CODE);
}
const rows = ROWS.filter(({ id }) =>
  values.row === undefined || id === values.row
);
const report = new Report(readKnownRows());
for await (const result of runRows(rows, values.without)) {
  report.add(result);
}
report.summarize();
process.exit(report.exitCode);

function isMechanism(name: string): name is MechanismName {
  return Object.hasOwn(MECHANISMS, name);
}
