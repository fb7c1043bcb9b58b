/**
 * One thread that runs rows.
 *
 * @module
 */
import { parentPort } from "node:worker_threads";
import { MECHANISMS } from "./mechanisms.ts";
import { runRow } from "./scenario.ts";
import type { RowOrder } from "./workers.ts";

const SEED = 20_261_204;

parentPort?.on("message", async ({ row, without }: RowOrder) => {
  parentPort?.postMessage(await runRow(row, MECHANISMS[without], SEED));
});
