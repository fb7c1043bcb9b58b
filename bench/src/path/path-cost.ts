/**
 * The cost of the path through one node, beside a plain pass-through.
 *
 * @module
 */
import { request } from "undici";
import {
  type Deployment,
  readDump,
  readGroups,
  startDeployment,
  stopDeployment,
  waitForGroups,
} from "../deployment.ts";
import { type RunningStandIn, startServer } from "../processes.ts";
import { writeFigure } from "../report.ts";

const SIZE = {
  nodes: 1,
  hosts: 4,
  fabricDomains: 4,
  dataCentres: 1,
  hostsPerGroup: 1,
  replicas: 4,
  engine: { "batch": 64, "step-ms": 10 },
  accountTokens: 10_000_000,
} as const;
/** Streams that run at the same time. */
const STREAMS = 32;
/** Requests in each measurement, after as many to warm up. */
const REQUESTS = 320;
const SEED = 0;
const US_PER_MS = 1000;
/** Answer lengths; two lengths separate the request's cost from a token's. */
const SHORT_TOKENS = 1;
const LONG_TOKENS = 50;

/** Processor time of one request and of one token, in microseconds. */
interface PathCost {
  readonly requestUs: number;
  readonly tokenUs: number;
}

interface Target {
  readonly address: string;
  readonly readCpuMs: () => Promise<number>;
}

/** Measures a node and the pass-through in the same run. */
export async function measurePath(): Promise<void> {
  const deployment = await startDeployment(SIZE);
  await waitForGroups(deployment, SIZE.replicas);
  const plain = await startPassThrough(deployment);
  const node = deployment.nodes[0]!;
  const apiKey = deployment.apiKeys.north!;
  const nodeCost = await measureCost({
    address: node.publicAddress,
    readCpuMs: async () =>
      (await readDump(deployment, node.adminAddress))
        .processUsage.cpuMs,
  }, apiKey);
  const plainCost = await measureCost({
    address: plain.address,
    readCpuMs: () => readPlainCpu(plain.address),
  }, apiKey);
  writeFigure({
    name: "path_request_cpu",
    value: nodeCost.requestUs,
    unit: "us",
    baseline: plainCost.requestUs,
    seed: SEED,
  });
  writeFigure({
    name: "path_token_cpu",
    value: nodeCost.tokenUs,
    unit: "us",
    baseline: plainCost.tokenUs,
    seed: SEED,
  });
  plain.kill("SIGTERM");
  await stopDeployment(deployment);
}

async function startPassThrough(
  deployment: Deployment,
): Promise<RunningStandIn> {
  const [group] = await readGroups(
    deployment,
    deployment.nodes[0]!.adminAddress,
  );
  const host = group!.hosts[0];
  const engine = deployment.engines.find((item) => item.host === host)!;
  const file = new URL("./pass-through-server.js", import.meta.url);
  return startServer("pass-through", file, [engine.address, group!.group]);
}

async function readPlainCpu(address: string): Promise<number> {
  const reply = await request(`http://${address}/usage`);
  const { cpuMs } = await reply.body.json() as { cpuMs: number };
  return cpuMs;
}

async function measureCost(
  target: Target,
  apiKey: string,
): Promise<PathCost> {
  await sendAll(target.address, apiKey, LONG_TOKENS);
  const shortUs = await measureRequests(target, apiKey, SHORT_TOKENS);
  const longUs = await measureRequests(target, apiKey, LONG_TOKENS);
  const tokenUs = (longUs - shortUs) / (LONG_TOKENS - SHORT_TOKENS);
  return { tokenUs, requestUs: shortUs - tokenUs };
}

/** Returns the processor time of one request in microseconds. */
async function measureRequests(
  target: Target,
  apiKey: string,
  tokens: number,
): Promise<number> {
  const before = await target.readCpuMs();
  await sendAll(target.address, apiKey, tokens);
  const after = await target.readCpuMs();
  return (after - before) * US_PER_MS / REQUESTS;
}

async function sendAll(
  address: string,
  apiKey: string,
  tokens: number,
): Promise<void> {
  let left = REQUESTS;
  const worker = async () => {
    while (left > 0) {
      left--;
      await send(address, apiKey, tokens);
    }
  };
  await Promise.all(Array.from({ length: STREAMS }, worker));
}

async function send(
  address: string,
  apiKey: string,
  tokens: number,
): Promise<void> {
  const reply = await request(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${apiKey}`,
      "content-type": "application/json",
      "x-rank": "normal",
    },
    body: JSON.stringify({
      model: "chat",
      stream: true,
      max_tokens: tokens,
      messages: [{ role: "user", content: "measure the path" }],
    }),
  });
  const text = await reply.body.text();
  const count = text.split("\ndata: {").length - 1;
  if (reply.statusCode !== 200 || count !== tokens) {
    throw new Error(
      `status ${reply.statusCode}, ${count} of ${tokens} tokens: ` +
        text.slice(0, 200),
    );
  }
}
