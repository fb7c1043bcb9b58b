/**
 * Measures how many tokens a second one core forwards:
 * `node bench/dist/token-rate.js`.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { SystemClock } from "@zinniahill/kernel";
import { Progress, runAttempt } from "@zinniahill/node";
import { type Engines, TokenEventSplitter } from "@zinniahill/clients";
import { Result } from "true-myth";

const TOKENS = 300_000;
const TOKENS_PER_STREAM = 300;
const EVENTS_PER_CHUNK = [1, 4, 16];
const REQUEST = "0123456789abcdef";
const MS_PER_SECOND = 1000;

const clock = new SystemClock();

function createChunks(eventsPerChunk: number): Buffer[] {
  const events = Array.from({ length: TOKENS_PER_STREAM }, (_, index) => {
    const chunk = {
      id: `chatcmpl-${REQUEST}`,
      object: "chat.completion.chunk",
      created: 0,
      model: "chat",
      choices: [{
        index: 0,
        delta: { content: " token" },
        finish_reason: index === TOKENS_PER_STREAM - 1 ? "stop" : null,
      }],
    };
    return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
  });
  const chunks: Buffer[] = [];
  for (let index = 0; index < events.length; index += eventsPerChunk) {
    const text = events.slice(index, index + eventsPerChunk).join("");
    chunks.push(Buffer.from(text));
  }
  return chunks;
}

function createEngines(chunks: readonly Buffer[]): Engines {
  const unused = () => Promise.reject(new Error("not used"));
  return {
    probe: unused,
    sendOrder: unused,
    cancel: unused,
    readCacheEvents: unused,
    generate: () =>
      Promise.resolve(Result.ok({
        requestId: REQUEST,
        chunks: (async function* () {
          yield* chunks;
        })(),
        close: () => {},
      })),
  };
}

async function measureStream(chunks: readonly Buffer[]): Promise<number> {
  const engines = createEngines(chunks);
  const startedAt = clock.now();
  let tokens = 0;
  while (tokens < TOKENS) {
    const progress = new Progress();
    await runAttempt(clock, engines, {
      address: "",
      body: {
        request: REQUEST,
        group: "g",
        model: "chat",
        messages: [],
        maxTokens: TOKENS_PER_STREAM,
        priority: 0,
        offset: 0,
      },
      usesNewConnection: false,
      firstTokenMs: 10_000,
      tokenGapMs: 2000,
      deadline: clock.now() + 60_000,
      sink: { write: () => {} },
      onFirstToken: () => {},
      onTokenGap: () => {},
      progress,
      signal: new AbortController().signal,
    });
    tokens += progress.next;
  }
  return tokens / (clock.now() - startedAt) * MS_PER_SECOND;
}

function measureSplitter(chunks: readonly Buffer[]): number {
  const startedAt = clock.now();
  let tokens = 0;
  while (tokens < TOKENS) {
    const splitter = new TokenEventSplitter();
    for (const chunk of chunks) {
      tokens += splitter.push(chunk).tokenIndices.length;
    }
  }
  return tokens / (clock.now() - startedAt) * MS_PER_SECOND;
}

for (const eventsPerChunk of EVENTS_PER_CHUNK) {
  const chunks = createChunks(eventsPerChunk);
  measureSplitter(chunks);
  await measureStream(chunks);
  const splitter = Math.round(measureSplitter(chunks));
  const stream = Math.round(await measureStream(chunks));
  process.stdout.write(
    `events_per_chunk=${eventsPerChunk} splitter_tokens_per_s=${splitter} ` +
      `stream_tokens_per_s=${stream}\n`,
  );
}
