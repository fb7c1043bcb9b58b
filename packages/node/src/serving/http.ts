/**
 * HTTP on the server side: listening, bodies, replies and refusals.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Refusal } from "@zinniahill/schema";
import polka, { type Polka } from "polka";
import type { z } from "zod";

/** A request with what the router has read from its address. */
export interface RoutedRequest extends IncomingMessage {
  readonly path: string;
  readonly params: Readonly<Record<string, unknown>>;
  readonly query: Readonly<Record<string, unknown>>;
}

/** What a request task does; a thrown `Refusal` becomes the reply. */
export type RequestTask = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void>;

const MS_PER_SECOND = 1000;

/** An HTTP server whose requests are tasks. */
export class HttpListener {
  #server: Server;
  #app: Polka;

  constructor() {
    this.#server = createServer();
    this.#app = polka({
      server: this.#server,
      onNoMatch: (_request, response) => {
        sendRefusal(
          response,
          new Refusal("not-found", "not-run", "there is no such path"),
        );
      },
    });
  }

  /** Adds a route. */
  on(method: "GET" | "POST" | "ANY", path: string, task: RequestTask): void {
    const handler = async (
      request: RoutedRequest,
      response: ServerResponse,
    ) => {
      try {
        await task(request, response);
      } catch (failure) {
        sendRefusal(response, createRefusal(failure));
      }
    };
    if (method === "ANY") {
      this.#app.all(path, handler);
    } else {
      this.#app.add(method, path, handler);
    }
  }

  /** Listens on an IP literal with a port. */
  listen(address: string): Promise<void> {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#app.listen(
        Number(address.slice(separator + 1)),
        host,
        () => resolve(),
      );
    });
  }

  /** Stops listening and ends connections that are idle or left over. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

/** Reads a request's body up to a limit. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > limitBytes) {
      throw new Refusal(
        "too-large",
        "not-run",
        `the body is larger than ${limitBytes} bytes`,
      );
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Reads a request's body as JSON of a schema. */
export async function readJson<Value>(
  request: IncomingMessage,
  limitBytes: number,
  schema: z.ZodType<Value>,
): Promise<Value> {
  const body = await readBody(request, limitBytes);
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    throw new Refusal("bad-request", "not-run", "the body is not JSON");
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const place = issue?.path.join(".") ?? "";
    throw new Refusal("bad-request", "not-run", `${place}: ${issue?.message}`);
  }
  return parsed.data;
}

/** Sends a JSON reply. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Sends a refusal, inside the stream if it has begun. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.destroyed) {
    return;
  }
  if (response.headersSent) {
    response.end(`data: ${JSON.stringify(refusal.toBody())}\n\n`);
    return;
  }
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    response.setHeader("retry-after", String(seconds));
  }
  sendJson(response, refusal.status, refusal.toBody());
}

/** Reads the bearer token of a request. */
export function readBearer(request: IncomingMessage): string {
  const header = request.headers.authorization ?? "";
  return header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
}

/** Hashes a secret. */
export function hashSecret(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/** Compares two hashes of the same length in constant time. */
export function isSameHash(a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(a, "hex"), Buffer.from(b, "hex"));
}

function createRefusal(failure: unknown): Refusal {
  return failure instanceof Refusal ? failure : new Refusal(
    "internal",
    "may-have-run",
    "the request failed inside the node",
  );
}
