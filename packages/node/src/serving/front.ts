/**
 * The public HTTP interface; one task for each request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Clock, Logger, Random, Service } from "@zinniahill/kernel";
import {
  type AccountRule,
  ChatChunk,
  ChatRequest,
  DEFAULT_MAX_TOKENS,
  Rank,
  Refusal,
  type Rules,
  type Settings,
} from "@zinniahill/schema";
import type { Calls } from "../calls/calls.ts";
import type { Metrics } from "../metrics.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Gate } from "./gate.ts";
import {
  hashSecret,
  HttpListener,
  isSameHash,
  readBearer,
  readBody,
  readJson,
  type RoutedRequest,
  sendJson,
} from "./http.ts";
import type { Lookup } from "./lookup.ts";
import type { Streams } from "./streams.ts";

const OK_STATUS = 200;
const END_EVENT = "data: [DONE]\n\n";
const SERVICE_PREFIX = /^\/v1\/services\/[^/]+/;

/** Serves callers. */
export class Front implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #metrics: Metrics;
  #settings: Settings;
  #state: ControlState;
  #gate: Gate;
  #streams: Streams;
  #calls: Calls;
  #lookup: Lookup;
  #listener = new HttpListener();
  #inFlight = 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#metrics = kernel.find("metrics");
    this.#settings = kernel.find("settings");
    this.#state = kernel.find("state");
    this.#gate = kernel.find("admission");
    this.#streams = kernel.find("streams");
    this.#calls = kernel.find("calls");
    this.#lookup = kernel.find("lookup");
  }

  async start(): Promise<void> {
    const listener = this.#listener;
    listener.on("GET", "/v1/lookup", async (request, response) => {
      const { data_centre: dataCentre } = request.query;
      const wanted = dataCentre === undefined ? undefined : String(dataCentre);
      await Promise.resolve(
        sendJson(response, OK_STATUS, this.#lookup.find(wanted)),
      );
    });
    listener.on("GET", "/v1/models", async (request, response) => {
      await Promise.resolve(this.#listModels(request, response));
    });
    listener.on(
      "POST",
      "/v1/chat/completions",
      (request, response) =>
        this.#count(() => this.#completeChat(request, response)),
    );
    listener.on(
      "ANY",
      "/v1/services/:service/*",
      (request, response) =>
        this.#count(() => this.#callService(request, response)),
    );
    await listener.listen(this.#settings.node["public-address"]);
  }

  stop(): Promise<void> {
    return this.#listener.close();
  }

  /** Requests that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  dump(): unknown {
    return { inFlight: this.#inFlight };
  }

  async #count(task: () => Promise<void>): Promise<void> {
    this.#inFlight++;
    try {
      await task();
    } finally {
      this.#inFlight--;
    }
  }

  #listModels(request: RoutedRequest, response: ServerResponse): void {
    const { rules } = this.#authenticate(request);
    const data = [...rules.models.keys()].map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "zinniahill",
    }));
    sendJson(response, OK_STATUS, { object: "list", data });
  }

  async #completeChat(
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const { rules, account } = this.#authenticate(request);
    const rank = readRank(request, account);
    const body = await readJson(
      request,
      this.#settings.limits["body-bytes"],
      ChatRequest,
    );
    if (!rules.models.has(body.model)) {
      throw new Refusal(
        "unknown-model",
        "not-run",
        `there is no model "${body.model}"`,
      );
    }
    const requestId = this.#random.id();
    const startedAt = this.#clock.now();
    const signal = createCloseSignal(response);
    const maxTokens = body.max_completion_tokens ?? body.max_tokens ??
      DEFAULT_MAX_TOKENS;
    const permit = await this.#gate.admit(
      { account: account.name, rank, tokens: maxTokens },
      signal,
    );
    if (permit.isErr) {
      throw permit.error;
    }
    response.setHeader("x-request-id", requestId);
    const reply = body.stream
      ? new StreamedReply(response)
      : new CollectedReply(response);
    let tokens = 0;
    try {
      const end = await this.#streams.run({
        request: requestId,
        model: body.model,
        messages: body.messages,
        maxTokens,
        rank,
        onEvent: (bytes) => {
          tokens++;
          permit.value.noteFirstToken();
          reply.push(bytes);
        },
      }, signal);
      if (end.isErr) {
        throw end.error;
      }
      reply.end(end.value.tokens);
      this.#logger.info("request_served", {
        request: requestId,
        account: account.name,
        rank,
        tokens: end.value.tokens,
        attempts: end.value.attempts,
        duration_ms: Math.round(this.#clock.now() - startedAt),
      });
      this.#metrics.count("requests", 1, { rank });
    } finally {
      permit.value.release(tokens);
    }
  }

  async #callService(
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const { rules, account } = this.#authenticate(request);
    const service = rules.services.get(String(request.params.service));
    if (service === undefined) {
      throw new Refusal(
        "unknown-service",
        "not-run",
        `there is no service "${request.params.service}"`,
      );
    }
    const body = await readBody(
      request,
      this.#settings.limits["body-bytes"],
    );
    const key = request.headers["idempotency-key"];
    const idempotencyKey = typeof key === "string" && key !== ""
      ? key
      : this.#random.id();
    response.setHeader("idempotency-key", idempotencyKey);
    const reply = await this.#calls.call({
      request: this.#random.id(),
      account: account.name,
      service,
      method: request.method ?? "GET",
      path: (request.url ?? "").replace(SERVICE_PREFIX, ""),
      contentType: request.headers["content-type"] ?? "",
      key: idempotencyKey,
      body,
    }, createCloseSignal(response));
    if (reply.isErr) {
      throw reply.error;
    }
    response.writeHead(reply.value.status, {
      "content-type": reply.value.contentType,
    });
    response.end(reply.value.body);
  }

  #authenticate(
    request: RoutedRequest,
  ): { rules: Rules; account: AccountRule } {
    const rules = this.#state.rules;
    if (rules === undefined) {
      throw new Refusal(
        "no-configuration",
        "not-run",
        "no configuration is known",
      );
    }
    const hash = hashSecret(readBearer(request));
    const account = [...rules.accounts.values()].find(({ key }) =>
      isSameHash(key, hash)
    );
    if (account === undefined) {
      throw new Refusal("unauthorized", "not-run", "the API key is not known");
    }
    return { rules, account };
  }
}

/** Sends events as they come. */
class StreamedReply {
  #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  push(bytes: Uint8Array): void {
    if (!this.#response.headersSent) {
      this.#response.writeHead(OK_STATUS, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
      });
    }
    this.#response.write(bytes);
  }

  end(_tokens: number): void {
    this.#response.end(END_EVENT);
  }
}

/** Collects the whole answer into one JSON reply. */
class CollectedReply {
  #response: ServerResponse;
  #events: Uint8Array[] = [];

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  push(bytes: Uint8Array): void {
    this.#events.push(bytes);
  }

  end(tokens: number): void {
    const chunks = this.#events.map(readChunk);
    const content = chunks
      .map(({ choices }) => choices[0]?.delta.content ?? "")
      .join("");
    const last = chunks.at(-1);
    sendJson(this.#response, OK_STATUS, {
      id: last?.id ?? "",
      object: "chat.completion",
      created: last?.created ?? 0,
      model: last?.model ?? "",
      choices: [{
        index: 0,
        message: { role: "assistant", content },
        finish_reason: last?.choices[0]?.finish_reason ?? "stop",
      }],
      usage: {
        prompt_tokens: 0,
        completion_tokens: tokens,
        total_tokens: tokens,
      },
    });
  }
}

function readChunk(bytes: Uint8Array): ChatChunk {
  const text = Buffer.from(bytes).toString();
  const data = text.slice(text.indexOf("data: ") + "data: ".length);
  return ChatChunk.parse(JSON.parse(data));
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

function createCloseSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.on("close", () => controller.abort());
  return controller.signal;
}
