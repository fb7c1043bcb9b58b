/**
 * What all HTTP stand-ins share: listening, JSON bodies and closing.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { RoutedRequest } from "@zinniahill/node";
import polka, { type Polka } from "polka";

/** A route's handler; what it returns is sent as JSON. */
export type Handler = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<Answer | undefined> | Answer | undefined;

/** Status and JSON body of an answer. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** An HTTP server on a loopback address. */
export class StandInServer {
  #server: Server;
  #app: Polka;

  constructor() {
    this.#server = createServer();
    this.#app = polka({ server: this.#server });
  }

  /** Adds a route. */
  on(method: "GET" | "POST", path: string, handler: Handler): void {
    this.#app.add(method, path, async (request, response) => {
      try {
        const answer = await handler(request, response);
        if (answer !== undefined) {
          sendJson(response, answer);
        }
      } catch {
        sendJson(response, { status: 400, body: { error: "bad-request" } });
      }
    });
  }

  /** Adds a handler for every path that has no route. */
  onAny(handler: Handler): void {
    this.#app.all("*", async (request, response) => {
      const answer = await handler(request, response);
      if (answer !== undefined) {
        sendJson(response, answer);
      }
    });
  }

  /** Listens on a loopback address; port 0 picks a free one. */
  listen(port = 0, host = "127.0.0.1"): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#app.listen(port, host, () => {
        const address = this.#server.address() as AddressInfo;
        resolve(`${host}:${address.port}`);
      });
    });
  }

  /** Ends all connections and stops listening. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

/** Reads a request's whole body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Reads a request's body as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return JSON.parse(body.toString());
}

function sendJson(response: ServerResponse, answer: Answer): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(JSON.stringify(answer.body));
}
