/**
 * A node that listens on loopback, on the platform in memory and real time.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import {
  type Fields,
  type Logger,
  SeededRandom,
  SystemClock,
} from "@zinniahill/kernel";
import { createNode, type NodeKernel } from "@zinniahill/node";
import { Settings } from "@zinniahill/schema";
import {
  MemoryPlatform,
  MemoryTransports,
  type RecordModel,
} from "@zinniahill/stand-ins";

export const API_KEY = "key-of-north-0001";
export const SOUTH_KEY = "key-of-south-0001";
export const BODY_LIMIT_BYTES = 10_000;
const RECORDS = "10.9.0.1:9001";
const POLL_MS = 20;
const POLLS = 1000;

/** A running node and what surrounds it. */
export interface RunningApi {
  readonly node: NodeKernel;
  readonly platform: MemoryPlatform;
  readonly records: RecordModel;
  readonly url: string;
  /** Every line that the node has logged, with its fields as text. */
  readonly lines: { readonly event: string; readonly fields: Fields }[];
  stop(): Promise<void>;
}

/** Starts a node and waits until its group serves. */
export async function startApi(
  name = "n1",
  shared?: MemoryPlatform,
): Promise<RunningApi> {
  const clock = new SystemClock();
  const platform = shared ?? createPlatform(clock);
  const records = platform.records.get(RECORDS)!;
  const lines: RunningApi["lines"] = [];
  const publicAddress = await findFreeAddress();
  const node = createNode(await createSettings(name, publicAddress), {
    ...platform.createClients(name),
    clock,
    random: new SeededRandom(5),
    logger: createLogger(lines),
    peerTransport: new MemoryTransports(platform.network).create("127.0.0.1:3"),
  });
  await node.start();
  const evidence = node.find("evidence");
  for (let poll = 0; evidence.listServable("chat").length === 0; poll++) {
    if (poll > POLLS) {
      throw new Error("no group serves");
    }
    await clock.sleep(POLL_MS);
  }
  return {
    node,
    platform,
    records,
    url: `http://${publicAddress}`,
    lines,
    stop: async () => {
      await node.stop();
      if (shared === undefined) {
        await platform.stop();
      }
    },
  };
}

function createPlatform(clock: SystemClock): MemoryPlatform {
  const platform = new MemoryPlatform(clock);
  for (const index of [1, 2]) {
    platform.addHost({
      host: `h${index}`,
      address: `10.0.0.${index}:8000`,
      dataCentre: "dc-1",
      fabricDomain: "fabric-1",
      accelerators: 8,
      state: "live",
    }, { batchSize: 8, stepMs: 2, checksFence: true, loadMs: 10 });
  }
  platform.addRecordService(RECORDS);
  platform.log.append("control", [{
    kind: "configuration",
    id: "rules",
    node: "operator",
    basis: 0,
    text: createRules(),
    author: "tests",
  }]);
  return platform;
}

function createRules(): string {
  const hash = (key: string) => createHash("sha256").update(key).digest("hex");
  const limits = "requests=100/s tokens=10000/s streams=8";
  return [
    "model chat version=1 hosts=2 replicas=1 # tests",
    `account north key=sha256:${hash(API_KEY)} ranks=urgent,normal ` +
    `${limits} # tests`,
    `account south key=sha256:${hash(SOUTH_KEY)} ${limits} # tests`,
    `service records upstreams=${RECORDS} # tests`,
    "",
  ].join("\n");
}

async function createSettings(
  name: string,
  publicAddress: string,
): Promise<Settings> {
  return Settings.parse({
    node: {
      name,
      "data-centre": "dc-1",
      "public-address": publicAddress,
      "admin-address": await findFreeAddress(),
      "peer-address": "127.0.0.1:3",
      "admin-token": "admin-token-of-tests",
      "peer-token": "peer-token-of-tests",
    },
    platform: {
      log: "127.0.0.1:4",
      "host-list": "127.0.0.1:5",
      "weight-store": "127.0.0.1:6",
      "host-list-interval": "50ms",
    },
    timing: { "probe-interval": "500ms" },
    limits: { "body-bytes": String(BODY_LIMIT_BYTES) },
  });
}

function createLogger(lines: RunningApi["lines"]): Logger {
  const write = (event: string, fields: Fields = {}) => {
    lines.push({ event, fields });
  };
  return { error: write, warn: write, info: write, debug: write };
}

/** Returns a loopback address that nothing listens on. */
export function findFreeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}
