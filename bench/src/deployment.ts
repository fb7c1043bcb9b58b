/**
 * A whole system on loopback: nodes, platform and upstreams as processes.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { request } from "undici";
import {
  runCommand,
  type RunningProcess,
  type RunningStandIn,
  startNode,
  startStandIn,
} from "./processes.ts";

/** Size of a deployment. */
export interface DeploymentSize {
  readonly nodes: number;
  readonly hosts: number;
  readonly fabricDomains: number;
  readonly dataCentres: number;
  readonly hostsPerGroup: number;
  readonly replicas: number;
  /** Options of the engine stand-ins. */
  readonly engine?: Readonly<Record<string, number>>;
  /** Tokens a second that each client account may use. */
  readonly accountTokens?: number;
}

/** A node and its addresses. */
export interface RunningNode extends RunningProcess {
  readonly publicAddress: string;
  readonly adminAddress: string;
  readonly dataCentre: string;
}

/** A host's engine and its place. */
export interface RunningEngine extends RunningStandIn {
  readonly host: string;
  readonly dataCentre: string;
  readonly fabricDomain: string;
}

/** A system that runs. */
export interface Deployment {
  readonly directory: string;
  readonly nodes: readonly RunningNode[];
  readonly engines: readonly RunningEngine[];
  readonly log: RunningStandIn;
  readonly hostList: RunningStandIn;
  readonly records: RunningStandIn;
  readonly standIns: readonly RunningStandIn[];
  readonly adminToken: string;
  readonly apiKeys: Readonly<Record<string, string>>;
}

/** The size of the demo. */
export const DEMO_SIZE: DeploymentSize = {
  nodes: 4,
  hosts: 10,
  fabricDomains: 2,
  dataCentres: 1,
  hostsPerGroup: 4,
  replicas: 2,
};

/** Keeps the ports of two deployments that start together apart. */
const PORT_STRIDE = 97;
const ADMIN_TOKEN = "demo-admin-token-0001";
const PEER_TOKEN = "demo-peer-token-00001";
/** Short, so that a planned stop of the demo's nodes is quick. */
const LOOKUP_VALIDITY = "1s";
const DEFAULT_ACCOUNT_TOKENS = 100_000;
const API_KEYS = { north: "demo-key-north", south: "demo-key-south" };

/** Returns the address at which others reach a stand-in, such as a relay's. */
export type Wire = (name: string, address: string) => Promise<string>;

const DIRECT: Wire = (_name, address) => Promise.resolve(address);

/** Starts every process and publishes the rules with the command. */
export async function startDeployment(
  size: DeploymentSize,
  wire: Wire = DIRECT,
): Promise<Deployment> {
  const directory = mkdtempSync(join(tmpdir(), "zinniahill-"));
  const [log, hostList, weightStore, records] = await Promise.all([
    startStandIn("log"),
    startStandIn("host-list"),
    startStandIn("weight-store"),
    startStandIn("record-service"),
  ]);
  const engines = await startEngines(size, wire);
  await announceHosts(hostList.address, engines);
  const nodes = await startNodes(size, directory, {
    log: await wire("log", log.address),
    hostList: hostList.address,
    weightStore: weightStore.address,
  });
  await waitForNodes(nodes);
  const rulesFile = join(directory, "rules.txt");
  writeFileSync(rulesFile, createRules(size, records.address));
  const exitCode = await runCommand([
    "publish",
    rulesFile,
    "--admin",
    nodes[0]!.adminAddress,
    "--from",
    "0",
    "--author",
    "demo",
  ], ADMIN_TOKEN);
  if (exitCode !== 0) {
    throw new Error(`publishing the rules ended with exit code ${exitCode}`);
  }
  return {
    directory,
    nodes,
    engines,
    log,
    hostList,
    records,
    standIns: [log, hostList, weightStore, records, ...engines],
    adminToken: ADMIN_TOKEN,
    apiKeys: API_KEYS,
  };
}

/** Stops the nodes as planned, then the stand-ins. */
export async function stopDeployment(deployment: Deployment): Promise<void> {
  for (const node of deployment.nodes) {
    node.kill("SIGTERM");
  }
  const codes = await Promise.all(deployment.nodes.map(({ exited }) => exited));
  if (codes.some((code) => code !== 0)) {
    throw new Error(`the nodes ended with exit codes ${codes}`);
  }
  for (const standIn of deployment.standIns) {
    standIn.kill("SIGTERM");
  }
}

/** Waits until this many groups are served, as a node sees it. */
export async function waitForGroups(
  deployment: Deployment,
  count: number,
): Promise<void> {
  for (const { adminAddress } of deployment.nodes) {
    await poll(async () => {
      const groups = await readGroups(deployment, adminAddress);
      return groups.filter(({ obstacle }) => obstacle === null).length >= count;
    });
  }
}

/** The part of a node's state dump that is measured. */
export interface ReportedDump {
  readonly processUsage: {
    readonly uptimeMs: number;
    readonly cpuMs: number;
    readonly rssBytes: number;
    readonly heapUsedBytes: number;
    readonly externalBytes: number;
  };
  readonly traffic: Readonly<
    Record<string, { sentBytes: number; receivedBytes: number }>
  >;
  readonly leases: { readonly held: readonly unknown[] };
}

/** Reads a node's state dump. */
export async function readDump(
  deployment: Deployment,
  adminAddress: string,
): Promise<ReportedDump> {
  const reply = await request(`http://${adminAddress}/admin/dump`, {
    headers: { authorization: `Bearer ${deployment.adminToken}` },
  });
  return await reply.body.json() as ReportedDump;
}

/** A group as a node reports it. */
export interface ReportedGroup {
  readonly group: string;
  readonly hosts: readonly string[];
  readonly phase: string;
  readonly obstacle: string | null;
}

/** Reads the groups from a node's administration interface. */
export async function readGroups(
  deployment: Deployment,
  adminAddress: string,
): Promise<readonly ReportedGroup[]> {
  const reply = await request(`http://${adminAddress}/admin/groups`, {
    headers: { authorization: `Bearer ${deployment.adminToken}` },
  });
  const { groups } = await reply.body.json() as { groups: ReportedGroup[] };
  return groups;
}

const POLL_INTERVAL_MS = 100;
const POLL_LIMIT = 600;

/** Asks again and again until the answer is yes; gives up after a minute. */
export async function poll(ask: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < POLL_LIMIT; attempt++) {
    if (await ask().catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error("what was waited for did not come about");
}

function startEngines(
  size: DeploymentSize,
  wire: Wire,
): Promise<RunningEngine[]> {
  return Promise.all(
    Array.from({ length: size.hosts }, async (_, index) => {
      const host = `host-${String(index + 1).padStart(2, "0")}`;
      const engine = await startStandIn("engine", {
        host,
        ...size.engine,
      });
      const domain = index % size.fabricDomains;
      return {
        ...engine,
        address: await wire(host, engine.address),
        host,
        fabricDomain: `fabric-${domain + 1}`,
        dataCentre: `dc-${domain % size.dataCentres + 1}`,
      };
    }),
  );
}

async function announceHosts(
  hostListAddress: string,
  engines: readonly RunningEngine[],
): Promise<void> {
  const hosts = engines.map(({ host, address, dataCentre, fabricDomain }) => ({
    host,
    address,
    dataCentre,
    fabricDomain,
    accelerators: 8,
    state: "live",
  }));
  const reply = await request(`http://${hostListAddress}/hosts`, {
    method: "POST",
    body: JSON.stringify(hosts),
  });
  await reply.body.dump();
}

async function startNodes(
  size: DeploymentSize,
  directory: string,
  platform: { log: string; hostList: string; weightStore: string },
): Promise<RunningNode[]> {
  const places = await Promise.all(
    Array.from({ length: size.nodes }, async (_, index) => ({
      name: `node-${index + 1}`,
      dataCentre: `dc-${index % size.dataCentres + 1}`,
      publicAddress: await findFreeAddress(),
      adminAddress: await findFreeAddress(),
      peerAddress: await findFreeAddress(),
    })),
  );
  return places.map((place) => {
    const peers = places
      .filter(({ name }) => name !== place.name)
      .map(({ peerAddress }) => peerAddress);
    const file = join(directory, `${place.name}.ini`);
    writeFileSync(
      file,
      [
        "[node]",
        `name = ${place.name}`,
        `data-centre = ${place.dataCentre}`,
        `public-address = ${place.publicAddress}`,
        `admin-address = ${place.adminAddress}`,
        `peer-address = ${place.peerAddress}`,
        ...(peers.length > 0 ? [`peers = ${peers.join(",")}`] : []),
        `admin-token = ${ADMIN_TOKEN}`,
        `peer-token = ${PEER_TOKEN}`,
        "[platform]",
        `log = ${platform.log}`,
        `host-list = ${platform.hostList}`,
        `weight-store = ${platform.weightStore}`,
        "[timing]",
        `lookup-validity = ${LOOKUP_VALIDITY}`,
        "[output]",
        "log-level = warn",
        "",
      ].join("\n"),
    );
    return { ...startNode(place.name, file), ...place };
  });
}

async function waitForNodes(nodes: readonly RunningNode[]): Promise<void> {
  for (const { publicAddress } of nodes) {
    await poll(async () => {
      const reply = await request(`http://${publicAddress}/v1/lookup`);
      await reply.body.dump();
      return reply.statusCode === 200;
    });
  }
}

function createRules(size: DeploymentSize, recordsAddress: string): string {
  const tokens = size.accountTokens ?? DEFAULT_ACCOUNT_TOKENS;
  const accounts = Object.entries(API_KEYS).map(([name, key]) => {
    const hash = createHash("sha256").update(key).digest("hex");
    return `account ${name} key=sha256:${hash} ranks=urgent,normal,batch ` +
      `requests=10000/s tokens=${tokens}/s streams=64 # asked by the demo`;
  });
  return [
    "rank urgent first-token=750ms floor=20% worth=10 # asked by the demo",
    "rank normal first-token=3s floor=20% worth=3 # asked by the demo",
    "rank batch first-token=60s floor=5% worth=1 # asked by the demo",
    `model chat version=1 hosts=${size.hostsPerGroup} ` +
    `replicas=${size.replicas} # asked by the demo`,
    ...accounts,
    `service records upstreams=${recordsAddress} # asked by the demo`,
    "",
  ].join("\n");
}

/**
 * Ports below the system's range for outgoing connections, so that none of
 * those takes a port between its choice here and its use by a node.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
let nextPort = FIRST_PORT + process.pid * PORT_STRIDE % PORT_COUNT;

async function findFreeAddress(): Promise<string> {
  for (;;) {
    const port = nextPort;
    nextPort = FIRST_PORT + (port + 1 - FIRST_PORT) % PORT_COUNT;
    if (await isFree(port)) {
      return `127.0.0.1:${port}`;
    }
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}
