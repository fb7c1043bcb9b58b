/**
 * The life of a node's process: settings, start, planned stop, exit code.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { describeError } from "@zinniahill/kernel";
import {
  describeSettingsFault,
  parseSettings,
  type Settings,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import { createNode } from "./node.ts";
import { stopAsPlanned } from "./planned-stop.ts";

/** What the exit code of `zinniahilld` means. */
export const NodeExitCode = {
  /** The node stopped as planned. */
  stopped: 0,
  /** The settings are wrong. */
  settings: 2,
  /** The node could not start. */
  start: 3,
} as const;
/** What the exit code of `zinniahilld` means. */
export type NodeExitCode = typeof NodeExitCode[keyof typeof NodeExitCode];

/** Runs a node until it has stopped; the signal begins the planned stop. */
export async function runNode(
  words: readonly string[],
  stopRequested: AbortSignal,
): Promise<NodeExitCode> {
  const settings = readSettings(words);
  if (settings.isErr) {
    settings.error.forEach((line) => console.error(line));
    return NodeExitCode.settings;
  }
  const node = createNode(settings.value);
  try {
    await node.start();
  } catch (failure) {
    console.error(`zinniahilld: ${describeError(failure)}`);
    await node.stop().catch(() => {});
    return NodeExitCode.start;
  }
  node.find("logger").info("node_started", {
    public_address: settings.value.node["public-address"],
  });
  const lifecycle = node.find("lifecycle");
  const stopped = stopAsPlanned(node);
  stopRequested.addEventListener("abort", () => lifecycle.drain());
  if (stopRequested.aborted) {
    lifecycle.drain();
  }
  await stopped;
  return NodeExitCode.stopped;
}

function readSettings(
  [file]: readonly string[],
): Result<Settings, readonly string[]> {
  if (file === undefined) {
    return Result.err(["usage: zinniahilld <settings.ini>"]);
  }
  try {
    return parseSettings(file, readFileSync(file, "utf8")).mapErr((faults) =>
      faults.map(describeSettingsFault)
    );
  } catch (failure) {
    return Result.err([`${file}: ${describeError(failure)}`]);
  }
}
