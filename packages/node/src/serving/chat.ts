/**
 * Chat completions; the task of one request.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock, Logger } from "@zinniahill/kernel";
import {
  type AccountRule,
  ChatRequest,
  DEFAULT_MAX_TOKENS,
  Rank,
  Refusal,
  type Settings,
} from "@zinniahill/schema";
import type { Metrics } from "../metrics.ts";
import type { NodeKernel } from "../services.ts";
import type { Caller } from "./authentication.ts";
import { type ChatReply, StreamedReply, WholeReply } from "./chat-reply.ts";
import type { AdmissionControl } from "./admission-control.ts";
import { createCloseSignal, readJson, type RoutedRequest } from "./http.ts";
import { Place } from "./place.ts";
import type { Streams } from "./streams.ts";

const MS_PER_SECOND = 1000;
/**
 * Time of a whole request. At 64 ms a token the largest answer, 32,768 tokens,
 * takes 35 minutes.
 */
const REQUEST_DEADLINE_MS = 40 * 60 * 1000;

/** A request that holds a place. */
interface AdmittedChat {
  readonly id: string;
  readonly account: string;
  readonly rank: Rank;
  readonly place: Place;
  /** When the request came, on the node's clock. */
  readonly startedAt: number;
  readonly maxTokens: number;
  readonly body: ChatRequest;
}

/** Serves chat completions. */
export class Chat {
  #clock: Clock;
  #logger: Logger;
  #metrics: Metrics;
  #settings: Settings;
  #admission: AdmissionControl;
  #streams: Streams;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#metrics = kernel.find("metrics");
    this.#settings = kernel.find("settings");
    this.#admission = kernel.find("admission");
    this.#streams = kernel.find("streams");
  }

  /** Answers one request. */
  async complete(
    id: string,
    { rules, account }: Caller,
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const rank = readRank(request, account);
    const limit = this.#settings.limits["body-bytes"];
    const body = await readJson(request, limit, ChatRequest);
    if (!rules.models.has(body.model)) {
      throw new Refusal(
        "unknown-model",
        "not-run",
        `there is no model ${JSON.stringify(body.model)}`,
      );
    }
    const maxTokens = body.max_completion_tokens ?? body.max_tokens ??
      DEFAULT_MAX_TOKENS;
    const startedAt = this.#clock.now();
    const signal = createCloseSignal(response);
    const permit = await this.#admission.admit(
      { account: account.name, rank, tokens: maxTokens },
      signal,
    );
    if (permit.isErr) {
      throw permit.error;
    }
    const place = new Place(permit.value);
    const work = {
      id,
      account: account.name,
      rank,
      place,
      startedAt,
      maxTokens,
      body,
    };
    try {
      await this.#stream(work, response, signal);
    } finally {
      place.release();
    }
  }

  async #stream(
    { id, account, rank, place, startedAt, maxTokens, body }: AdmittedChat,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const reply = this.#createReply(id, body, response);
    const end = await this.#streams.run({
      request: id,
      model: body.model,
      messages: body.messages,
      maxTokens,
      rank,
      place,
      deadline: startedAt + REQUEST_DEADLINE_MS,
      sink: reply,
    }, signal);
    if (end.isErr) {
      throw end.error;
    }
    const { attempts, progress } = end.value;
    reply.end(progress);
    this.#logger.info("request_served", {
      request: id,
      account,
      rank,
      tokens: progress.next,
      attempts,
      duration_ms: Math.round(this.#clock.now() - startedAt),
    });
    this.#metrics.count("requests", 1, { rank });
  }

  #createReply(
    id: string,
    body: ChatRequest,
    response: ServerResponse,
  ): ChatReply {
    const header = {
      request: id,
      model: body.model,
      created: Math.floor(this.#clock.wallTime() / MS_PER_SECOND),
      includesUsage: body.stream_options?.include_usage ?? false,
    };
    return body.stream
      ? new StreamedReply(this.#clock, response, header)
      : new WholeReply(response, header);
  }
}

function readRank(request: RoutedRequest, account: AccountRule): Rank {
  const parsed = Rank.safeParse(request.headers["x-rank"] ?? "normal");
  if (!parsed.success) {
    throw new Refusal(
      "bad-request",
      "not-run",
      "X-Rank: expected urgent, normal or batch",
    );
  }
  if (!account.ranks.includes(parsed.data)) {
    throw new Refusal(
      "forbidden",
      "not-run",
      `the client account may not use rank ${parsed.data}`,
    );
  }
  return parsed.data;
}
