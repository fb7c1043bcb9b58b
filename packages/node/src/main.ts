/**
 * The binary `zinniahilld`: reads its settings, serves, and stops as planned.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { describeError } from "@zinniahill/kernel";
import { describeSettingsFault, parseSettings } from "@zinniahill/schema";
import { createNode } from "./node.ts";
import { stopAsPlanned } from "./planned-stop.ts";

const EXIT_SETTINGS = 2;
const EXIT_START = 3;

const [file] = process.argv.slice(2);
if (file === undefined) {
  console.error("usage: zinniahilld <settings.ini>");
  process.exit(EXIT_SETTINGS);
}
const settings = parseSettings(file, readSettings(file));
if (settings.isErr) {
  for (const fault of settings.error) {
    console.error(describeSettingsFault(fault));
  }
  process.exit(EXIT_SETTINGS);
}

const node = createNode(settings.value);
// A signal during the start begins the planned stop once the node serves.
const stopRequested = new AbortController();
process.on("SIGTERM", () => stopRequested.abort());
process.on("SIGINT", () => stopRequested.abort());
try {
  await node.start();
} catch (failure) {
  console.error(`zinniahilld: ${describeError(failure)}`);
  process.exit(EXIT_START);
}
node.find("logger").info("node_started", {
  public_address: settings.value.node["public-address"],
});

const lifecycle = node.find("lifecycle");
const stopped = stopAsPlanned(node);
stopRequested.signal.addEventListener("abort", () => lifecycle.drain());
if (stopRequested.signal.aborted) {
  lifecycle.drain();
}
await stopped;
process.exit(0);

function readSettings(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (failure) {
    console.error(`${path}: ${describeError(failure)}`);
    process.exit(EXIT_SETTINGS);
  }
}
