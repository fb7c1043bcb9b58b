/**
 * Rows with real processes, for what memory cannot show.
 *
 * @module
 */
import {
  createToken,
  hashMessages,
  Relay,
  type RelayMode,
} from "@zinniahill/stand-ins";
import { request } from "undici";
import { recordCall, streamChat } from "../caller.ts";
import {
  type Deployment,
  type DeploymentSize,
  poll,
  readGroups,
  startDeployment,
  waitForGroups,
} from "../deployment.ts";

/** What a row with real processes shows. */
export interface ProcessResult {
  readonly id: string;
  /** Violations; none when the row is kept. */
  readonly violations: readonly string[];
}

interface Scene {
  readonly deployment: Deployment;
  readonly relays: ReadonlyMap<string, Relay>;
  /** Lead of a group that is served. */
  readonly lead: string;
  /** Another host of the same group. */
  readonly member: string;
}

type ProcessRow = (scene: Scene) => Promise<string[]>;

const SIZE: DeploymentSize = {
  nodes: 3,
  hosts: 8,
  fabricDomains: 2,
  dataCentres: 1,
  hostsPerGroup: 2,
  replicas: 2,
};
const STREAMS = 12;
const TOKENS = 150;
const MAX_ATTEMPTS = 4;
const BEFORE_FAULT_MS = 300;
/** Longer than the validity of evidence, 3 s, and a probe, 1 s. */
const PAUSE_MS = 6000;
const PAST_BOUND_MS = 4500;
const OUTAGE_MS = 4000;
const ROW_LIMIT_MS = 45_000;

/** Rows by name. */
const PROCESS_ROWS: Readonly<Record<string, ProcessRow>> = {
  "node-killed@stream": async (scene) => {
    const [node] = scene.deployment.nodes;
    const answers = startStreams(scene);
    const calls = startCalls(scene, "killed");
    await sleep(BEFORE_FAULT_MS);
    node!.kill("SIGKILL");
    await calls;
    return [...await answers, ...await findRepeatedRuns(scene)];
  },
  "engine-paused@stream": async (scene) => {
    const { engines } = scene.deployment;
    const engine = engines.find(({ host }) => host === scene.member)!;
    const answers = startStreams(scene);
    await sleep(BEFORE_FAULT_MS);
    engine.kill("SIGSTOP");
    try {
      await sleep(PAST_BOUND_MS);
      const before = await countRuns(scene);
      const late = await startStreams(scene);
      const after = await countRuns(scene);
      const newWork = after > before
        ? [`P1: ${after - before} runs began on the lead of a paused host`]
        : [];
      await sleep(PAUSE_MS - PAST_BOUND_MS);
      return [...await answers, ...late, ...newWork];
    } finally {
      engine.kill("SIGCONT");
    }
  },
  "engine-silent@stream": async (scene) => {
    const answers = startStreams(scene);
    await sleep(BEFORE_FAULT_MS);
    scene.relays.get(scene.lead)!.setMode("silence-open");
    return await answers;
  },
  "log-cut@intent": async (scene) => {
    const relay = scene.relays.get("log")!;
    const calls = startCalls(scene, "before");
    relay.setMode("cut");
    await sleep(BEFORE_FAULT_MS);
    const answers = startStreams(scene);
    const told = [...await calls, ...await startCalls(scene, "during")];
    const runs = await listRunKeys(scene);
    await sleep(OUTAGE_MS);
    relay.setMode("pass");
    const wrong = told.filter(({ key, verdict }) =>
      verdict === "not-run" && runs.includes(key)
    ).map(({ key }) => `P4: ${key} was told not-run`);
    return [...await answers, ...wrong, ...await findRepeatedRuns(scene)];
  },
};

/** Runs every row, each on a system of its own. */
export async function* runProcessRows(): AsyncGenerator<ProcessResult> {
  for (const [id, run] of Object.entries(PROCESS_ROWS)) {
    const relays = new Map<string, Relay>();
    const deployment = await startDeployment(SIZE, async (name, address) => {
      const relay = new Relay(address);
      relays.set(name, relay);
      return await relay.listen();
    });
    try {
      await waitForGroups(deployment, SIZE.replicas);
      const scene = await createScene(deployment, relays);
      const violations = await Promise.race([
        run(scene),
        sleep(ROW_LIMIT_MS).then(() => ["the row did not end in time"]),
      ]);
      yield { id, violations };
    } finally {
      stop(deployment, relays);
    }
  }
}

async function createScene(
  deployment: Deployment,
  relays: ReadonlyMap<string, Relay>,
): Promise<Scene> {
  const { adminAddress } = deployment.nodes[0]!;
  const groups = await readGroups(deployment, adminAddress);
  const [lead, member] = groups.find(({ obstacle }) => obstacle === null)!
    .hosts;
  return { deployment, relays, lead: lead!, member: member! };
}

function stop(
  deployment: Deployment,
  relays: ReadonlyMap<string, Relay>,
): void {
  const { nodes, engines, log, hostList, records } = deployment;
  for (const process of [...nodes, ...engines, log, hostList, records]) {
    process.kill("SIGKILL");
  }
  for (const relay of relays.values()) {
    relay.setMode("cut" satisfies RelayMode);
    relay.close().catch(() => {});
  }
}

/** Streams at every node at once; returns what was wrong with the answers. */
async function startStreams(scene: Scene): Promise<string[]> {
  const results = await Promise.all(
    Array.from({ length: STREAMS }, (_, index) => runStream(scene, index)),
  );
  return results.filter((result) => result !== undefined);
}

async function runStream(
  { deployment }: Scene,
  index: number,
): Promise<string | undefined> {
  const prompt = `question ${index}`;
  let last = "";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const { nodes, apiKeys } = deployment;
    const node = nodes[(index + attempt) % nodes.length]!;
    try {
      const answer = await streamChat({
        address: node.publicAddress,
        apiKey: apiKeys.north!,
        rank: "normal",
        prompt,
        maxTokens: TOKENS,
      });
      const wrong = describeAnswer(prompt, answer.tokens, answer.isComplete);
      if (wrong === undefined || answer.tokens.length > 0) {
        return wrong;
      }
      last = JSON.stringify(answer.error);
    } catch (failure) {
      // The node is gone; the caller asks another one for the whole answer.
      last = String(failure);
    }
    await sleep(BEFORE_FAULT_MS);
  }
  return `P3: ${prompt} got no answer (${last})`;
}

function describeAnswer(
  prompt: string,
  tokens: readonly string[],
  isComplete: boolean,
): string | undefined {
  const seed = hashMessages({ messages: [{ role: "user", content: prompt }] });
  const isRight = tokens.every((token, index) =>
    token === createToken(seed, index)
  );
  return isComplete && isRight && tokens.length === TOKENS
    ? undefined
    : `P3: ${prompt} got ${tokens.length} tokens, complete: ${isComplete}, ` +
      `right: ${isRight}`;
}

interface CallOutcome {
  readonly key: string;
  readonly verdict: string;
}

/** Makes calls at every node, each key at two of them. */
function startCalls(scene: Scene, prefix: string): Promise<CallOutcome[]> {
  const { nodes, apiKeys } = scene.deployment;
  return Promise.all(
    Array.from({ length: STREAMS }, async (_, index) => {
      const key = `${prefix}-${index >> 1}`;
      const { publicAddress } = nodes[index % nodes.length]!;
      try {
        const reply = await recordCall(publicAddress, {
          apiKey: apiKeys.north!,
          key,
          body: { key },
        });
        return { key, verdict: readVerdict(reply.body) };
      } catch {
        return { key, verdict: "unknown" };
      }
    }),
  );
}

function readVerdict(body: unknown): string {
  const { error } = body as { error?: { verdict: string } };
  return error?.verdict ?? "ran";
}

async function listRunKeys({ deployment }: Scene): Promise<string[]> {
  const reply = await request(`http://${deployment.records.address}/calls`);
  const { calls } = await reply.body.json() as { calls: { key: string }[] };
  return calls.map(({ key }) => key);
}

async function findRepeatedRuns(scene: Scene): Promise<string[]> {
  const keys = await listRunKeys(scene);
  return keys.filter((key, index) => keys.indexOf(key) !== index)
    .map((key) => `P5: ${key} ran more than once`);
}

/** Runs that have begun on the lead of the chosen group. */
async function countRuns({ deployment, lead }: Scene): Promise<number> {
  const engine = deployment.engines.find(({ host }) => host === lead)!;
  let count = 0;
  await poll(async () => {
    const reply = await request(`http://${engine.address}/runs`);
    const { runs } = await reply.body.json() as { runs: unknown[] };
    count = runs.length;
    return true;
  });
  return count;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
