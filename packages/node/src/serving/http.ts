/**
 * HTTP on the server side: listening, bodies, replies and refusals.
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
import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import {
  closeAfterLinger,
  type ConnectionLimitOptions,
  hasBody,
  refuseBody,
  ServerConnections,
  waitForTurn,
} from "@zinniahill/clients";
import { Refusal } from "@zinniahill/schema";
import polka, { type Polka } from "polka";
import type { z } from "zod";
import type { ArrivingRequest, RequestIntake } from "./request-intake.ts";

/** A request with what the router has read from its address. */
export interface RoutedRequest extends IncomingMessage {
  readonly path: string;
  readonly params: Readonly<Record<string, unknown>>;
  readonly query: Readonly<Record<string, unknown>>;
  /** Its memory and its body, at a listener that bounds its callers. */
  arriving?: ArrivingRequest;
}

/** What a request task does; a thrown `Refusal` becomes the reply. */
export type RequestTask = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void>;

/** Looks at every request before its task, such as to give it an id. */
export type RequestHook = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Names each reply's request, also in logs. */
export const REQUEST_ID_HEADER = "x-request-id";

const MS_PER_SECOND = 1000;
/** How long a caller whose body was not read may take to read the reply. */
const UNREAD_LINGER_MS = 1000;
/** How long replies that were written may take to reach their callers. */
const CLOSE_LINGER_MS = 3000;
/** Without a reason, each abort would record a stack of its own. */
const CALLER_GONE = new Error("the caller has gone");
const MAX_SOCKET_LISTENERS = 256;
const METHODS = ["GET", "POST"] as const;

/** What a listener does with every request, and how it bounds its callers. */
export interface ListenerOptions {
  readonly onRequest?: RequestHook;
  readonly intake?: RequestIntake;
  readonly limit?: ConnectionLimitOptions;
}

/** An HTTP server whose requests are tasks. */
export class HttpListener {
  #server: Server;
  #connections: ServerConnections;
  #app: Polka;
  #intake: RequestIntake | undefined;

  constructor({ onRequest, intake, limit }: ListenerOptions = {}) {
    this.#intake = intake;
    this.#server = createServer();
    this.#connections = new ServerConnections(this.#server, limit);
    // Each request that waits for its turn listens for the end of its socket.
    this.#server.on("connection", (socket: Socket) => {
      socket.setMaxListeners(MAX_SOCKET_LISTENERS);
    });
    this.#app = polka({
      server: this.#server,
      onNoMatch: (request, response) => this.#refuseRoute(request, response),
      onError: (failure, _request, response) => {
        return sendRefusal(response, createRefusal(failure));
      },
    });
    this.#app.use((request, response, next) => {
      // The parser reads on to the end of its bytes after a connection is closed.
      if (request.socket.destroyed) {
        this.#intake?.drop(request);
        return;
      }
      onRequest?.(request, response);
      next();
    });
  }

  /** Adds a route. */
  on(method: "GET" | "POST" | "ANY", path: string, task: RequestTask): void {
    const handler = async (
      request: RoutedRequest,
      response: ServerResponse,
    ) => {
      if (this.#connections.isLate(request)) {
        return;
      }
      if (method === "GET" && hasBody(request)) {
        refuseBody(request, response);
        return;
      }
      const use = this.#intake?.admit(
        request,
        this.#connections.countOwed(request.socket),
      );
      if (use === "close") {
        request.socket.destroy();
        this.#intake?.drop(request);
        return;
      }
      const id = String(response.getHeader(REQUEST_ID_HEADER) ?? "");
      const arriving = this.#intake?.receive(id, request, response);
      try {
        if (use === "refuse") {
          throw createQueuedRefusal();
        }
        if (response.socket === null) {
          await waitForTurn(request.socket, response);
        }
        await task(Object.assign(request, { arriving }), response);
      } catch (failure) {
        await sendRefusal(response, createRefusal(failure));
      } finally {
        arriving?.end();
      }
    };
    if (method === "ANY") {
      this.#app.all(path, handler);
    } else {
      this.#app.add(method, path, handler);
    }
  }

  async #refuseRoute(
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.path;
    const allowed = METHODS.filter((method) => {
      // The router returns `false` for no route, unlike its declared type.
      const found: { handlers?: unknown } = this.#app.find(method, path);
      return found.handlers !== undefined;
    });
    if (allowed.length === 0) {
      const message = "there is no such path";
      await sendRefusal(
        response,
        new Refusal("not-found", "not-run", message),
      );
      return;
    }
    response.setHeader("allow", allowed.join(", "));
    const message = `expected method ${allowed.join(" or ")}`;
    await sendRefusal(
      response,
      new Refusal("method-not-allowed", "not-run", message),
    );
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

  /** Requests whose reply is not sent. */
  get inFlight(): number {
    return this.#connections.listOwed().length;
  }

  /**
   * Stops listening and ends each connection after its last reply. Those that
   * callers have not closed a moment later are closed.
   */
  async close(): Promise<void> {
    await this.#connections.finish(CLOSE_LINGER_MS);
    await this.#connections.destroy();
  }
}

/** Reads a request's body; throws a `Refusal` if it is over the limit. */
export async function readBody(
  { arriving }: RoutedRequest,
  limitBytes: number,
): Promise<Buffer> {
  return await arriving?.read(limitBytes) ?? Buffer.alloc(0);
}

function createQueuedRefusal(): Refusal {
  return new Refusal(
    "overloaded",
    "not-run",
    "too many earlier requests of the connection are not answered",
  );
}

/** Reads a request's body as JSON of a schema. */
export async function readJson<Value>(
  request: RoutedRequest,
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
    const message = place === ""
      ? `${issue?.message}`
      : `${place}: ${issue?.message}`;
    throw new Refusal("bad-request", "not-run", message);
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
export async function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
): Promise<void> {
  if (!response.headersSent && !response.req.complete) {
    // What has arrived with the head is parsed after this task.
    await setImmediate();
  }
  if (response.destroyed) {
    return;
  }
  if (response.headersSent) {
    response.end(`data: ${JSON.stringify(refusal.toBody())}\n\n`);
    return;
  }
  if (refusal.code === "too-large" || !response.req.complete) {
    closeAfterLinger(response, UNREAD_LINGER_MS);
  }
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    response.setHeader("retry-after", String(seconds));
  }
  sendJson(response, refusal.status, refusal.toBody());
}

/** The refusal that a failure of a task stands for. */
export function createRefusal(failure: unknown): Refusal {
  return failure instanceof Refusal ? failure : new Refusal(
    "internal",
    "may-have-run",
    "the request failed inside the node",
  );
}

/** A signal that aborts when the caller goes before it has the whole reply. */
export function createCloseSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  const onClose = () => {
    if (!response.writableFinished) {
      controller.abort(CALLER_GONE);
    }
  };
  if (response.closed) {
    onClose();
  } else {
    response.on("close", onClose);
  }
  return controller.signal;
}

/**
 * Waits for a result, or returns undefined once the caller has gone. Work that
 * goes on without its caller may not keep the response: Node's HTTP server
 * links it to all requests that have come on its connection.
 */
export function awaitUnlessClosed<Value>(
  work: Promise<Value>,
  closed: AbortSignal,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const onClosed = () => resolve(undefined);
    if (closed.aborted) {
      onClosed();
    }
    closed.addEventListener("abort", onClosed, { once: true });
    work.then(resolve, reject);
  });
}
