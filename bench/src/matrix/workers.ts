/**
 * Runs rows on a few threads; results come in the order of the rows.
 *
 * @module
 */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { Condition } from "@zinniahill/kernel";
import type { MechanismName } from "./mechanisms.ts";
import type { Row, RowResult } from "./scenario.ts";

/** Rows that run at the same time; each row is independent of the others. */
const MAX_WORKERS = 4;

/** What a thread is asked to run. */
export interface RowOrder {
  readonly row: Row;
  readonly without: MechanismName;
}

/** Runs every row and yields the results in order. */
export async function* runRows(
  rows: readonly Row[],
  without: MechanismName,
): AsyncGenerator<RowResult> {
  const results: (RowResult | undefined)[] = rows.map(() => undefined);
  const arrived = new Condition();
  const failed = new AbortController();
  let next = 0;
  const serve = async () => {
    const worker = new Worker(new URL("./worker.js", import.meta.url));
    try {
      while (next < rows.length) {
        const index = next++;
        const order: RowOrder = { row: rows[index]!, without };
        worker.postMessage(order);
        const [result] = await once(worker, "message") as [RowResult];
        results[index] = result;
        arrived.notify();
      }
    } finally {
      await worker.terminate();
    }
  };
  const served = Promise.all(
    Array.from({ length: Math.min(MAX_WORKERS, rows.length) }, serve),
  );
  served.catch((failure) => failed.abort(failure));
  for (const index of rows.keys()) {
    await arrived.until(() => results[index] !== undefined, failed.signal);
    yield results[index]!;
  }
  await served;
}
