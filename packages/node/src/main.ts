/**
 * The binary `zinniahilld`.
 *
 * @module
 */
import process from "node:process";

// The handlers come before the other modules are loaded, which takes longer
// than a supervisor may wait before its first signal.
const stopRequested = new AbortController();
process.on("SIGTERM", () => stopRequested.abort());
process.on("SIGINT", () => stopRequested.abort());

const { exposeCollection } = await import("./expose-collection.ts");
exposeCollection();
const { runNode } = await import("./run-node.ts");
process.exit(await runNode(process.argv.slice(2), stopRequested.signal));
