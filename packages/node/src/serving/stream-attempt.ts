/**
 * One attempt at a stream: a connection to the lead of one group.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Clock, describeError } from "@zinniahill/kernel";
import {
  type Engines,
  type EngineStream,
  type Fault,
  TokenEventSplitter,
} from "@zinniahill/clients";
import type { GenerateRequest } from "@zinniahill/schema";
import { DeliveredText, readFinishReason } from "./delivered-text.ts";
import { ProgressWatch } from "./progress-watch.ts";
import { TokenGaps } from "./token-gaps.ts";
import { findForeignEvent, selectRun, type TokenRun } from "./token-run.ts";

/** Takes the events of an answer, each token once and in order. */
export interface TokenSink {
  /** Takes whole events; a promise makes the stream wait for a slow caller. */
  write(events: Uint8Array, tokens: number): Promise<void> | void;
}

/** How far an answer has come, over all attempts. */
export class Progress {
  readonly delivered = new DeliveredText();
  /** Index of the next token. */
  next = 0;
  #last: Buffer | undefined;

  /** Notes new events. */
  note({ bytes, last, next }: TokenRun): void {
    if (last !== undefined) {
      this.delivered.push(bytes);
      this.#last = last;
      this.next = next;
    }
  }

  /** Why the answer ended; null while it has not. */
  get finishReason(): string | null {
    return this.#last === undefined ? null : readFinishReason(this.#last);
  }

  /** Whether the answer is complete; the end event alone does not prove it. */
  get isComplete(): boolean {
    return this.finishReason !== null;
  }
}

/** What one attempt needs. */
export interface Attempt {
  readonly address: string;
  readonly body: GenerateRequest;
  readonly usesNewConnection: boolean;
  /** How long the engine may take until the first event. */
  readonly firstTokenMs: number;
  /** How long it may take between two events. */
  readonly tokenGapMs: number;
  /** When the whole request must have ended. */
  readonly deadline: number;
  readonly sink: TokenSink;
  readonly progress: Progress;
  /** Called at the first new token of the attempt. */
  onFirstToken(): void;
  /** Called with the mean time between tokens over a part of the attempt. */
  onTokenGap(ms: number): void;
  readonly signal: AbortSignal;
}

/** The end of a body follows its last event at once, or the engine is slow. */
const RELEASE_LIMIT_MS = 1000;
const CHUNK_ID_PREFIX = '"id":"chatcmpl-';

/** Runs one attempt; returns why it ended, complete or not. */
export async function runAttempt(
  clock: Clock,
  engines: Engines,
  attempt: Attempt,
): Promise<Fault> {
  const { address, body, usesNewConnection, signal } = attempt;
  const startedAt = clock.now();
  if (startedAt >= attempt.deadline) {
    return { verdict: "not-run", message: "the deadline has passed" };
  }
  const until = Math.min(startedAt + attempt.firstTokenMs, attempt.deadline);
  const stream = await engines.generate(address, body, {
    timeoutMs: until - startedAt,
    usesNewConnection,
    signal,
  });
  if (stream.isErr) {
    return stream.error;
  }
  const watch = new ProgressWatch(clock, signal, until);
  const chunks = stream.value.chunks[Symbol.asyncIterator]();
  try {
    await forward(clock, stream.value, chunks, attempt, watch);
    return { verdict: "may-have-run", message: "the stream ended" };
  } catch (failure) {
    return { verdict: "may-have-run", message: describeError(failure) };
  } finally {
    watch.end();
    // Another attempt may have completed the answer.
    if (attempt.progress.isComplete && !signal.aborted) {
      releaseConnection(clock, stream.value, chunks);
    } else {
      stream.value.close();
    }
  }
}

/** Reads on to the end of the body, so that the connection can be reused. */
function releaseConnection(
  clock: Clock,
  stream: EngineStream,
  chunks: AsyncIterator<Uint8Array>,
): void {
  const cancel = clock.schedule(RELEASE_LIMIT_MS, () => stream.close());
  chunks.next().catch(() => {}).finally(() => {
    cancel();
    stream.close();
  });
}

async function forward(
  clock: Clock,
  stream: EngineStream,
  chunks: AsyncIterator<Uint8Array>,
  attempt: Attempt,
  watch: ProgressWatch,
): Promise<void> {
  const { body, progress } = attempt;
  const before = progress.next;
  const gaps = new TokenGaps((ms) => attempt.onTokenGap(ms));
  if (stream.requestId !== body.request) {
    throw new Error("the stream belongs to another request");
  }
  const mark = Buffer.from(`${CHUNK_ID_PREFIX}${body.request}"`);
  const splitter = new TokenEventSplitter();
  while (true) {
    const chunk = await watch.wait(chunks.next());
    if (chunk.done) {
      return;
    }
    const batch = splitter.push(chunk.value);
    const foreign = findForeignEvent(batch, mark);
    if (foreign !== undefined) {
      throw new Error(`event ${foreign} belongs to another request`);
    }
    const run = selectRun(batch, progress.next);
    const tokens = run.next - progress.next;
    progress.note(run);
    if (tokens > 0) {
      if (run.next - tokens === before) {
        attempt.onFirstToken();
      }
      gaps.note(tokens, clock.now());
      const written = attempt.sink.write(run.bytes, tokens);
      if (written !== undefined) {
        await written;
        gaps.restart(clock.now());
      }
      // Only new tokens move the deadline, so a connection that repeats old
      // ones stalls like a silent one.
      const until = clock.now() + attempt.tokenGapMs;
      watch.moveTo(Math.min(until, attempt.deadline));
    }
    if (run.hasGap) {
      throw new Error(`token ${progress.next} is missing`);
    }
    if (run.isEnded) {
      return;
    }
  }
}
