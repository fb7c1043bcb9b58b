/**
 * Replies to chat completions, streamed and whole.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { type Clock, Condition, withDeadline } from "@zinniahill/kernel";
import { sendJson } from "./http.ts";
import type { Progress, TokenSink } from "./stream-attempt.ts";

/** What a reply says about its request. */
export interface ReplyHeader {
  readonly request: string;
  readonly model: string;
  /** Seconds since 1970. */
  readonly created: number;
  /** Whether the stream ends with the number of tokens. */
  readonly includesUsage: boolean;
}

/** Sends an answer to a caller. */
export interface ChatReply extends TokenSink {
  /** Ends a complete answer. */
  end(progress: Progress): void;
}

const OK_STATUS = 200;
const END_EVENT = "data: [DONE]\n\n";
/**
 * How long a caller may take to read what the socket holds. The stream waits
 * for it meanwhile, so that a slow caller takes a bounded amount of memory.
 */
const SLOW_CALLER_MS = 30_000;
const STREAM_HEADERS = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache",
  "x-accel-buffering": "no",
};

/** Forwards the engine's events as they come. */
export class StreamedReply implements ChatReply {
  #clock: Clock;
  #response: ServerResponse;
  #header: ReplyHeader;
  #changed = new Condition();

  constructor(clock: Clock, response: ServerResponse, header: ReplyHeader) {
    this.#clock = clock;
    this.#response = response;
    this.#header = header;
    response.on("drain", () => this.#changed.notify());
    response.on("close", () => this.#changed.notify());
  }

  write(events: Uint8Array): Promise<void> | void {
    const response = this.#response;
    if (!response.headersSent) {
      response.writeHead(OK_STATUS, STREAM_HEADERS);
    }
    if (!response.write(events) && !response.destroyed) {
      return this.#waitForDrain();
    }
  }

  end(progress: Progress): void {
    if (this.#header.includesUsage) {
      const { request, model, created } = this.#header;
      const chunk = {
        id: `chatcmpl-${request}`,
        object: "chat.completion.chunk",
        created,
        model,
        choices: [],
        usage: createUsage(progress),
      };
      this.#response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    }
    this.#response.end(END_EVENT);
  }

  async #waitForDrain(): Promise<void> {
    const response = this.#response;
    try {
      await withDeadline(
        this.#clock,
        SLOW_CALLER_MS,
        undefined,
        (signal) =>
          this.#changed.until(
            () => !response.writableNeedDrain || response.destroyed,
            signal,
          ),
      );
    } catch {
      response.destroy();
    }
  }
}

/** Sends the whole answer as one JSON body. */
export class WholeReply implements ChatReply {
  #response: ServerResponse;
  #header: ReplyHeader;

  constructor(response: ServerResponse, header: ReplyHeader) {
    this.#response = response;
    this.#header = header;
  }

  write(): void {
    // The stream itself keeps what it has delivered.
  }

  end(progress: Progress): void {
    const { request, model, created } = this.#header;
    sendJson(this.#response, OK_STATUS, {
      id: `chatcmpl-${request}`,
      object: "chat.completion",
      created,
      model,
      choices: [{
        index: 0,
        message: {
          role: "assistant",
          content: progress.delivered.read(),
          refusal: null,
        },
        logprobs: null,
        finish_reason: progress.finishReason,
      }],
      usage: createUsage(progress),
    });
  }
}

/** The engines do not report the tokens of the prompt. */
function createUsage(progress: Progress) {
  return {
    prompt_tokens: 0,
    completion_tokens: progress.next,
    total_tokens: progress.next,
  };
}
