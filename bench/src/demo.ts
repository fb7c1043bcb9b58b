/**
 * `npm run demo`: the whole system on loopback, doing its main job.
 *
 * @module
 */
import process from "node:process";
import { recordCall, streamChat } from "./caller.ts";
import {
  DEMO_SIZE,
  type Deployment,
  readGroups,
  startDeployment,
  waitForGroups,
} from "./deployment.ts";

const REQUESTS_PER_RANK = 8;
const TOKENS = 40;

const deployment = await startDeployment(DEMO_SIZE);
await waitForGroups(deployment, DEMO_SIZE.replicas);
if (process.argv.includes("--hold")) {
  printAddresses(deployment);
  await new Promise<void>((resolve) => process.once("SIGINT", () => resolve()));
  process.exit(0);
}
await serveRequests(deployment);
process.exit(0);

function printAddresses(running: Deployment): void {
  console.log(JSON.stringify({
    public: running.nodes.map(({ publicAddress }) => publicAddress),
    administration: running.nodes.map(({ adminAddress }) => adminAddress),
    administrationToken: running.adminToken,
    apiKeys: running.apiKeys,
    model: "chat",
    service: "records",
  }));
}

async function serveRequests(running: Deployment): Promise<void> {
  const apiKey = running.apiKeys.north!;
  const firstTokens: number[] = [];
  for (const rank of ["urgent", "normal", "batch"]) {
    const answers = await Promise.all(
      Array.from({ length: REQUESTS_PER_RANK }, (_, index) =>
        streamChat({
          address: running.nodes[index % running.nodes.length]!.publicAddress,
          apiKey,
          rank,
          prompt: `${rank} question ${index}`,
          maxTokens: TOKENS,
        })),
    );
    const whole = answers.filter(({ isComplete, tokens }) =>
      isComplete && tokens.length === TOKENS
    );
    firstTokens.push(...answers.map(({ firstTokenMs }) => firstTokenMs));
    console.log(`${rank}: ${whole.length} of ${answers.length} answers whole`);
  }
  const record = await recordCall(
    running.nodes[0]!.publicAddress,
    apiKey,
    "demo-1",
    { module: 7 },
  );
  console.log(`record call: status ${record.status}`);
  const groups = await readGroups(running, running.nodes[0]!.adminAddress);
  const hosts = new Set(groups.flatMap((group) => group.hosts));
  console.log(`groups: ${groups.length} over ${hosts.size} hosts`);
  const sorted = firstTokens.toSorted((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)]!;
  console.log(
    `first token: median ${Math.round(median)} ms, ` +
      `highest ${Math.round(sorted.at(-1)!)} ms`,
  );
}
