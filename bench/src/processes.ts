/**
 * Starts and stops the processes that the demo and the proofs measure.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** A process that was started here. */
export interface RunningProcess {
  readonly name: string;
  readonly pid: number;
  readonly exited: Promise<number | null>;
  kill(signal: NodeJS.Signals): void;
}

/** A stand-in process and the address where it listens. */
export interface RunningStandIn extends RunningProcess {
  readonly address: string;
}

const STAND_INS = new URL("../../stand-ins/dist/main.js", import.meta.url);
const NODE_BINARY = new URL(
  "../../packages/node/dist/main.js",
  import.meta.url,
);
const COMMAND = new URL("../../packages/cli/dist/main.js", import.meta.url);

const children = new Set<ChildProcess>();
process.on("exit", () => {
  for (const child of children) {
    child.kill("SIGKILL");
  }
});

/** Starts a stand-in and waits until it listens. */
export async function startStandIn(
  kind: string,
  options: Readonly<Record<string, string | number>> = {},
): Promise<RunningStandIn> {
  const pairs = Object.entries(options).map(([key, value]) =>
    `${key}=${value}`
  );
  return await startServer(kind, STAND_INS, [kind, ...pairs]);
}

/** Starts a program that prints its address, and waits for that line. */
export async function startServer(
  name: string,
  file: URL,
  arguments_: readonly string[],
): Promise<RunningStandIn> {
  const child = start([file.pathname, ...arguments_], ["pipe", "inherit"]);
  for await (const line of createInterface({ input: child.stdout! })) {
    const { address } = JSON.parse(line) as { address: string };
    return { ...describeProcess(name, child), address };
  }
  throw new Error(`${name} ended before it listened`);
}

/** Starts a node. */
export function startNode(name: string, settingsFile: string): RunningProcess {
  const child = start([NODE_BINARY.pathname, settingsFile], [
    "ignore",
    "inherit",
  ]);
  return describeProcess(name, child);
}

/** Runs the operators' command and returns its exit code. */
export async function runCommand(
  arguments_: readonly string[],
  token: string,
): Promise<number | null> {
  const child = start([COMMAND.pathname, ...arguments_], [
    // Measurements print one JSON object a line and nothing else.
    "ignore",
    "inherit",
  ], { ZINNIAHILL_TOKEN: token });
  return await waitForExit(child);
}

function start(
  arguments_: readonly string[],
  [output, errors]: ["pipe" | "ignore" | "inherit", "inherit"],
  variables: Readonly<Record<string, string>> = {},
): ChildProcess {
  const child = spawn(process.execPath, [...arguments_], {
    stdio: ["ignore", output, errors],
    env: { ...process.env, ...variables },
  });
  children.add(child);
  child.on("exit", () => children.delete(child));
  return child;
}

function describeProcess(name: string, child: ChildProcess): RunningProcess {
  return {
    name,
    pid: child.pid!,
    exited: waitForExit(child),
    kill: (signal) => {
      child.kill(signal);
    },
  };
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  return new Promise((resolve) => {
    child.on("exit", (code) => resolve(code));
  });
}
