/**
 * `npm run demo`: the whole system on loopback, doing its main job.
 *
 * @module
 */
import process from "node:process";
import { type CallerAnswer, recordCall, streamChat } from "./caller.ts";
import {
  DEMO_SIZE,
  type Deployment,
  poll,
  readGroups,
  startDeployment,
  stopDeployment,
  waitForGroups,
} from "./deployment.ts";
import { runPlatformDemo } from "./platform-demo.ts";

const RANKS = ["urgent", "normal", "batch"] as const;
const REQUESTS_PER_RANK = 8;
const TOKENS = 40;
/** Tokens of the streams that run while an engine is ended. */
const LONG_TOKENS = 300;
const LONG_STREAMS = 8;
const RECORD_CALLS = 4;

if (process.argv.includes("--platform")) {
  process.exit(await runPlatformDemo() ? 0 : 1);
}
const deployment = await startDeployment(DEMO_SIZE);
await waitForGroups(deployment, DEMO_SIZE.replicas);
const run = process.argv.includes("--hold") ? hold : demonstrate;
const isWhole = await run(deployment);
await stopDeployment(deployment);
process.exit(isWhole ? 0 : 1);

/** Prints the addresses and keys, and waits to be interrupted. */
async function hold(running: Deployment): Promise<boolean> {
  console.log(JSON.stringify({
    public: running.nodes.map(({ publicAddress }) => publicAddress),
    administration: running.nodes.map(({ adminAddress }) => adminAddress),
    administrationToken: running.adminToken,
    apiKeys: running.apiKeys,
    model: "chat",
    service: "records",
    directory: running.directory,
    engines: running.engines.map(({ host, pid }) => ({ host, pid })),
  }));
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
  return true;
}

/** Serves requests of every kind; returns whether every answer was whole. */
async function demonstrate(running: Deployment): Promise<boolean> {
  const groups = await readGroups(running, running.nodes[0]!.adminAddress);
  const hosts = new Set(groups.flatMap((group) => group.hosts));
  console.log(`${groups.length} groups serve over ${hosts.size} hosts`);
  const answers = await serveRanks(running);
  const records = await makeRecordCalls(running);
  const resumed = await endAnEngine(running);
  const all = [...answers, ...resumed];
  printFirstTokens(all);
  return records && all.every(({ isComplete }) => isComplete);
}

async function serveRanks(running: Deployment): Promise<CallerAnswer[]> {
  const all: CallerAnswer[] = [];
  for (const rank of RANKS) {
    const answers = await Promise.all(
      Array.from(
        { length: REQUESTS_PER_RANK },
        (_, index) => ask(running, rank, index, TOKENS),
      ),
    );
    printAnswers(rank, answers, TOKENS);
    all.push(...answers);
  }
  return all;
}

/** Writes records, repeats each call elsewhere, and counts what has run. */
async function makeRecordCalls(running: Deployment): Promise<boolean> {
  const { north: apiKey = "" } = running.apiKeys;
  const [first, second] = running.nodes;
  let repeated = 0;
  for (let index = 0; index < RECORD_CALLS; index++) {
    const call = { apiKey, key: `demo-${index}`, body: { module: index } };
    const reply = await recordCall(first!.publicAddress, call);
    const again = await recordCall(second!.publicAddress, call);
    const isSame = reply.status === again.status &&
      JSON.stringify(reply.body) === JSON.stringify(again.body);
    repeated += isSame ? 1 : 0;
  }
  console.log(
    `record calls: ${RECORD_CALLS} made, each repeated at another node; ` +
      `${repeated} repeats got the first outcome`,
  );
  return repeated === RECORD_CALLS;
}

/** Ends one engine by its process id while streams run. */
async function endAnEngine(running: Deployment): Promise<CallerAnswer[]> {
  const [group] = await readGroups(running, running.nodes[0]!.adminAddress);
  const host = group!.hosts.at(-1);
  const victim = running.engines.find((engine) => engine.host === host)!;
  const streams = Array.from(
    { length: LONG_STREAMS },
    (_, index) => ask(running, "urgent", index, LONG_TOKENS),
  );
  await poll(async () => {
    const groups = await readGroups(running, running.nodes[0]!.adminAddress);
    return groups.length > 0;
  });
  victim.kill("SIGKILL");
  const answers = await Promise.all(streams);
  console.log(`ended the engine of ${host} (process ${victim.pid})`);
  printAnswers("urgent, engine ended", answers, LONG_TOKENS);
  return answers;
}

function ask(
  running: Deployment,
  rank: string,
  index: number,
  maxTokens: number,
): Promise<CallerAnswer> {
  const { north = "", south = "" } = running.apiKeys;
  const node = running.nodes[index % running.nodes.length]!;
  return streamChat({
    address: node.publicAddress,
    apiKey: index % 2 === 0 ? north : south,
    rank,
    prompt: `${rank} question ${index}`,
    maxTokens,
  });
}

function printAnswers(
  name: string,
  answers: readonly CallerAnswer[],
  tokens: number,
): void {
  const whole = answers.filter((answer) =>
    answer.isComplete && answer.tokens.length === tokens
  );
  console.log(`${name}: ${whole.length} of ${answers.length} answers whole`);
}

function printFirstTokens(answers: readonly CallerAnswer[]): void {
  const times = answers
    .map(({ firstTokenMs }) => Math.round(firstTokenMs))
    .toSorted((a, b) => a - b);
  const median = times[Math.floor(times.length / 2)];
  console.log(`first token: median ${median} ms, highest ${times.at(-1)} ms`);
}
