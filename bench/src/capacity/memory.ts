/**
 * Heap of a node's state, by what it grows with.
 *
 * @module
 */
import { createHash } from "node:crypto";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CallReducer, ControlReducer } from "@zinniahill/policy";
import {
  type ControlRecord,
  type EngineStatus,
  Host,
  parseRules,
  type Rules,
} from "@zinniahill/schema";
import { writeFigure } from "../report.ts";
import { fitLine, type Point } from "./slope.ts";

const SEED = 0;
const SCOPE = "placement/dc-1";
const HOSTS_PER_GROUP = 4;
/** The first run also pays for compiled code; the median leaves it out. */
const RUNS = 5;

/** One kind of state: how to make it at a size, and the sizes measured. */
interface Kind {
  readonly name: string;
  readonly sizes: readonly number[];
  readonly create: (size: number) => unknown;
}

const KINDS: readonly Kind[] = [
  { name: "group", sizes: [50, 150, 600], create: createGroups },
  { name: "host", sizes: [100, 600, 2400], create: createHosts },
  { name: "probed_host", sizes: [8, 32, 128], create: createStatuses },
  { name: "account", sizes: [10, 1000, 3000], create: createAccounts },
  { name: "remembered_call", sizes: [1000, 5000, 20_000], create: createCalls },
];

/** Measures the heap of each kind of state at three sizes. */
export function measureMemory(): void {
  const collectGarbage = findCollector();
  for (const { name, sizes, create } of KINDS) {
    const points = sizes.map((size): Point => ({
      size,
      value: measureHeap(() => create(size), collectGarbage),
    }));
    for (const { size, value } of points) {
      const unit = `bytes at ${size}`;
      writeFigure({ name: `heap_${name}`, value, unit, seed: SEED });
    }
    const { perUnit } = fitLine(points);
    writeFigure({
      name: `heap_per_${name}`,
      value: perUnit,
      unit: "bytes",
      seed: SEED,
    });
  }
}

function findCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}

function measureHeap(
  create: () => unknown,
  collectGarbage: () => void,
): number {
  const runs = Array.from({ length: RUNS }, () => {
    const before = process.memoryUsage().heapUsed;
    const kept = [create()];
    collectGarbage();
    const after = process.memoryUsage().heapUsed;
    kept.pop();
    collectGarbage();
    return after - before;
  });
  return runs.toSorted((a, b) => a - b)[Math.floor(RUNS / 2)]!;
}

function createGroups(size: number): ControlReducer {
  const reducer = new ControlReducer();
  reducer.apply(1, {
    kind: "lease",
    id: "lease",
    node: "node-1",
    scope: SCOPE,
    fence: 0,
    basis: 0,
  });
  for (let number = 0; number < size; number++) {
    reducer.apply(number + 2, createAssignment(number));
  }
  return reducer;
}

function createAssignment(number: number): ControlRecord {
  return {
    kind: "group-assigned",
    id: `record-${number}`,
    node: "node-1",
    scope: SCOPE,
    fence: 1,
    group: `chat-${number}`,
    model: "chat",
    version: "1",
    hosts: Array.from(
      { length: HOSTS_PER_GROUP },
      (_, index) => `host-${number * HOSTS_PER_GROUP + index}`,
    ),
    fabricDomain: `fabric-${number}`,
    dataCentre: "dc-1",
  };
}

function createHosts(size: number): Map<string, Host> {
  const hosts = Array.from(
    { length: size },
    (_, number) =>
      Host.parse(JSON.parse(JSON.stringify({
        host: `host-${number}`,
        address: `127.0.0.1:${number + 1}`,
        dataCentre: `dc-${number % 6}`,
        fabricDomain: `fabric-${number % 40}`,
        accelerators: 8,
        state: "live",
      }))),
  );
  return new Map(hosts.map((host) => [host.host, host]));
}

function createStatuses(size: number): EngineStatus[] {
  return Array.from({ length: size }, (_, number) => ({
    host: `host-${number}`,
    group: `chat-${number}`,
    role: "serving",
    model: "chat",
    version: "1",
    fence: 1,
    rank: 0,
    running: number,
    waiting: 0,
    reportedAtMs: number + 0.5,
    members: { a: 1.5, b: 2.5, c: 3.5 },
  }));
}

function createAccounts(size: number): Rules {
  const lines = Array.from({ length: size }, (_, number) => {
    const hash = createHash("sha256").update(`key-${number}`).digest("hex");
    return `account account-${number} key=sha256:${hash} requests=50/s ` +
      "tokens=2000/s streams=8 # asked by the bench";
  });
  return parseRules(lines.join("\n")).unwrapOrElse(() => {
    throw new Error("the rules of the bench are wrong");
  });
}

function createCalls(size: number): CallReducer {
  const reducer = new CallReducer(size);
  for (let number = 0; number < size; number++) {
    const key = createHash("sha256").update(`${number}`).digest("base64url");
    const header = { node: "node-1", key };
    reducer.apply({
      kind: "intent",
      id: `intent-${number}`,
      bodyHash: key,
      ...header,
    });
    reducer.apply({
      kind: "outcome",
      id: `outcome-${number}`,
      intent: `intent-${number}`,
      verdict: "ran",
      status: 201,
      contentType: "application/json",
      body: "eyJudW1iZXIiOjF9",
      ...header,
    });
  }
  return reducer;
}
