/**
 * Calls to plain services; the task of one request.
 *
 * @module
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { Random } from "@zinniahill/kernel";
import { Refusal, type Settings } from "@zinniahill/schema";
import type { CallExecutor } from "../calls/call-executor.ts";
import type { NodeKernel } from "../services.ts";
import type { Caller } from "./authentication.ts";
import {
  awaitUnlessClosed,
  createCloseSignal,
  readBody,
  type RoutedRequest,
} from "./http.ts";

const SERVICE_PREFIX = /^\/v1\/services\/[^/?]+/;
const KEY_HEADER = "idempotency-key";
const MAX_KEY_LENGTH = 255;

/** Headers of the connection, of the node itself, or that hold a secret. */
const OWN_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-rank",
  KEY_HEADER,
]);

/** Serves calls to plain services. */
export class ServiceCalls {
  #random: Random;
  #settings: Settings;
  #calls: CallExecutor;

  constructor(kernel: NodeKernel) {
    this.#random = kernel.find("random");
    this.#settings = kernel.find("settings");
    this.#calls = kernel.find("calls");
  }

  /** Passes one call on, at most once unless it may be repeated. */
  async call(
    id: string,
    { rules, account }: Caller,
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const name = String(request.params.service);
    const service = rules.services.get(name);
    if (service === undefined) {
      throw new Refusal(
        "unknown-service",
        "not-run",
        `there is no service ${JSON.stringify(name)}`,
      );
    }
    const key = readKey(request.headers) ?? this.#random.id();
    response.setHeader(KEY_HEADER, key);
    const limit = this.#settings.limits["body-bytes"];
    const body = await readBody(request, limit);
    const closed = createCloseSignal(response);
    const execution = this.#calls.execute({
      requestId: id,
      account: account.name,
      service,
      method: request.method ?? "GET",
      path: readPath(request.url ?? ""),
      headers: selectHeaders(request),
      idempotencyKey: key,
      body,
    }, closed);
    const reply = await awaitUnlessClosed(execution, closed);
    if (reply === undefined) {
      return;
    }
    if (reply.isErr) {
      throw reply.error;
    }
    request.arriving?.memory.add(reply.value.body.length);
    const { status, contentType, headers = {} } = reply.value;
    for (const [header, value] of Object.entries(headers)) {
      response.setHeader(header, value);
    }
    response.setHeader(KEY_HEADER, key);
    if (contentType !== "") {
      response.setHeader("content-type", contentType);
    }
    response.writeHead(status);
    response.end(reply.value.body);
  }
}

function readKey(headers: IncomingHttpHeaders): string | undefined {
  const value = headers[KEY_HEADER];
  if (value === undefined || value === "") {
    return undefined;
  }
  const key = String(value);
  if (key.length > MAX_KEY_LENGTH) {
    throw new Refusal(
      "bad-request",
      "not-run",
      `Idempotency-Key: expected at most ${MAX_KEY_LENGTH} characters`,
    );
  }
  return key;
}

function readPath(url: string): string {
  const path = url.replace(SERVICE_PREFIX, "");
  return path.startsWith("/") ? path : `/${path}`;
}

function selectHeaders({ headers }: RoutedRequest): Record<string, string> {
  const named = new Set(
    String(headers.connection ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const selected = Object.entries(headers)
    .filter(([name]) => !OWN_HEADERS.has(name) && !named.has(name))
    .map(([name, value]) => [name, String(value)]);
  return Object.fromEntries(selected);
}
