/**
 * Callers of one row: streams and non-idempotent calls, with repeats.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type NodeKernel, Place } from "@zinniahill/node";
import { ChatChunk, type Rank, RANKS, Refusal } from "@zinniahill/schema";
import type { MemoryNode } from "./memory-node.ts";
import type {
  CallAttempt,
  CallCase,
  StreamAttempt,
  StreamCase,
} from "./records.ts";
import type { World } from "./world.ts";

const MAX_ATTEMPTS = 5;
const REPEAT_PAUSE_MS = 400;
/** Longer than any fault of a row, so that it ends no request by itself. */
const REQUEST_DEADLINE_MS = 60_000;
const STREAM_INTERVAL_MS = 250;
const CALL_INTERVAL_MS = 300;
const STREAM_TOKENS = 20;
const FLOOD_TOKENS = 10;
/** Every third call is sent at two nodes at the same time. */
const DOUBLE_CALL_EVERY = 3;
const ACCOUNT = "north";

/** Sends streams and calls at a steady pace until a moment. */
export async function runCallers(world: World, until: number): Promise<void> {
  await Promise.all([
    runSteadily(world, until, STREAM_INTERVAL_MS, (index) => {
      const rank = RANKS[index % RANKS.length]!;
      return requestStream(world, `question ${index}`, rank, STREAM_TOKENS);
    }),
    runSteadily(world, until, CALL_INTERVAL_MS, async (index) => {
      const key = `key-${index}`;
      const isDouble = index % DOUBLE_CALL_EVERY === 0;
      await Promise.all([
        requestCall(world, key, index),
        ...(isDouble ? [requestCall(world, key, index + 1)] : []),
      ]);
    }),
  ]);
}

/** Sends many streams of the lowest rank at once. */
export async function runFlood(world: World, count: number): Promise<void> {
  await Promise.all(
    Array.from(
      { length: count },
      (_, index) =>
        requestStream(world, `flood ${index}`, "batch", FLOOD_TOKENS),
    ),
  );
}

async function runSteadily(
  world: World,
  until: number,
  intervalMs: number,
  send: (index: number) => Promise<void>,
): Promise<void> {
  const sent: Promise<void>[] = [];
  for (let index = 0; world.clock.now() < until; index++) {
    sent.push(send(index));
    await world.clock.sleep(intervalMs);
  }
  await Promise.all(sent);
}

/** Sends one stream, again at another node where the verdict allows it. */
export async function requestStream(
  world: World,
  prompt: string,
  rank: Rank,
  maxTokens: number,
): Promise<void> {
  const attempts: StreamAttempt[] = [];
  const own: StreamCase = { prompt, maxTokens, attempts };
  world.records.streams.push(own);
  const first = world.records.streams.length;
  for (let count = 0; count < MAX_ATTEMPTS; count++) {
    const node = await findNode(world, first + count);
    const attempt: StreamAttempt = {
      ...beginAttempt(world, node),
      request: `${prompt}/${count}`,
      tokens: [],
    };
    attempts.push(attempt);
    const result = await node.handle((kernel) =>
      runStream(kernel, own, attempt, rank)
    );
    endAttempt(world, attempt, result);
    // Only an answer that is known not to have run, or whose node is gone,
    // is asked for again.
    const isRepeated = attempt.verdict === "not-run" || attempt.end === "lost";
    if (!isRepeated) {
      return;
    }
    await world.clock.sleep(REPEAT_PAUSE_MS);
  }
}

async function runStream(
  kernel: NodeKernel,
  { prompt, maxTokens }: StreamCase,
  attempt: StreamAttempt,
  rank: Rank,
): Promise<Refusal | "answered"> {
  const { signal } = new AbortController();
  const permit = await kernel.find("admission").admit(
    { account: ACCOUNT, rank, tokens: maxTokens },
    signal,
  );
  if (permit.isErr) {
    return permit.error;
  }
  const place = new Place(permit.value);
  try {
    const end = await kernel.find("streams").run({
      request: attempt.request,
      model: "chat",
      messages: [{ role: "user", content: prompt }],
      maxTokens,
      rank,
      place,
      deadline: kernel.find("clock").now() + REQUEST_DEADLINE_MS,
      sink: {
        write: (events) => {
          if (attempt.end === undefined) {
            attempt.tokens.push(...readTokens(events));
          }
        },
      },
    }, signal);
    return end.isOk ? "answered" : end.error;
  } finally {
    place.release();
  }
}

/** Makes one non-idempotent call, again at another node until it is answered. */
export async function requestCall(
  world: World,
  key: string,
  first: number,
): Promise<void> {
  const attempts: CallAttempt[] = [];
  const own: CallCase = { key, attempts };
  world.records.calls.push(own);
  for (let count = 0; count < MAX_ATTEMPTS; count++) {
    const node = await findNode(world, first + count);
    const attempt: CallAttempt = beginAttempt(world, node);
    attempts.push(attempt);
    const result = await node.handle((kernel) => runCall(kernel, own, attempt));
    endAttempt(world, attempt, result);
    if (attempt.end === "answered") {
      return;
    }
    await world.clock.sleep(REPEAT_PAUSE_MS);
  }
}

/** Makes one non-idempotent call at a node, once. */
export async function requestCallAt(
  node: MemoryNode,
  key: string,
): Promise<void> {
  const attempt = { node: node.name, start: node.starts, from: 0 };
  await node.handle((kernel) =>
    runCall(kernel, { key, attempts: [] }, attempt)
  );
}

async function runCall(
  kernel: NodeKernel,
  { key }: CallCase,
  attempt: CallAttempt,
): Promise<Refusal | "answered"> {
  const service = kernel.find("state").rules?.services.get("records");
  if (service === undefined) {
    return new Refusal("no-configuration", "not-run", "no rules are known");
  }
  const reply = await kernel.find("calls").execute({
    requestId: `${key}/${attempt.node}`,
    account: ACCOUNT,
    service,
    method: "POST",
    path: "/entries",
    headers: { "content-type": "application/json" },
    idempotencyKey: key,
    body: Buffer.from(JSON.stringify({ key })),
  }, new AbortController().signal);
  if (reply.isErr) {
    return reply.error;
  }
  attempt.reply = reply.value.body.toString();
  return "answered";
}

async function findNode(world: World, turn: number): Promise<MemoryNode> {
  for (;;) {
    const offered = [...world.nodes.values()].filter(({ isOffered }) =>
      isOffered
    );
    if (offered.length > 0) {
      return offered[turn % offered.length]!;
    }
    await world.clock.sleep(REPEAT_PAUSE_MS);
  }
}

function beginAttempt(world: World, node: MemoryNode): CallAttempt {
  return { node: node.name, start: node.starts, from: world.clock.now() };
}

function endAttempt(
  world: World,
  attempt: CallAttempt,
  result: Refusal | "answered" | undefined,
): void {
  attempt.to = world.clock.now();
  if (result instanceof Refusal) {
    attempt.end = "refused";
    attempt.verdict = result.verdict;
    attempt.message = `${result.code}: ${result.message}`;
  } else {
    attempt.end = result ?? "lost";
  }
}

function readTokens(events: Uint8Array): string[] {
  return Buffer.from(events).toString().split("\n\n")
    .filter((event) => event !== "")
    .map(readToken);
}

function readToken(event: string): string {
  const data = event.slice(event.indexOf("data: ") + "data: ".length);
  const chunk = ChatChunk.parse(JSON.parse(data));
  return chunk.choices[0]?.delta.content ?? "";
}
