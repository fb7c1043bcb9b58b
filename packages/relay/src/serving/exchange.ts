/**
 * One request to one upstream instance, on a connection of its own.
 *
 * A kept connection may hold the late answer of an earlier request, or be
 * dropped by the upstream just when a request is sent that must not run twice.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { type Clock, describeError } from "@zinniahill/kernel";
import type { Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";
import { buildConnector, Client } from "undici";

/** What is sent to an upstream. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** The head of an upstream's response, and its body as it comes. */
export interface UpstreamReply {
  readonly status: number;
  /** Names and values in turn, as they were received. */
  readonly rawHeaders: readonly string[];
  /** The last value of each header, by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  /** Ends without a failure only if the body is complete. */
  readonly body: AsyncIterable<Buffer>;
}

/** An attempt that got no usable response. */
export interface AttemptFault {
  readonly verdict: Verdict;
  readonly message: string;
}

/** Connections are made within a few ms, or the upstream is away. */
const CONNECT_TIMEOUT_MS = 250;

/** Whole answers are a few kB; a node holds hundreds of them at once. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** An empty line between requests, which an upstream ignores. */
const END_PROBE = "\r\n";

/** One attempt; it must be closed. */
export class Exchange {
  #client: Client;
  #controller = new AbortController();
  #isConnected = false;
  #isReset = false;

  constructor(address: string) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.#client = new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      connect: (target, callback) => {
        connect(target, (...result) => {
          // A caller that is seen to leave in the same turn is handled first,
          // so that nothing is sent for it.
          setImmediate(() => {
            // The library gives no socket, not even null, with a failure.
            if (result[0] === null && result[1] !== null && !this.#isClosed) {
              this.#watch(result[1]);
            }
            callback(...result);
          });
        });
      },
    });
  }

  /** Whether the upstream may have received the request. */
  get isSent(): boolean {
    return this.#isConnected;
  }

  get #isClosed(): boolean {
    return this.#controller.signal.aborted;
  }

  /** Sends a request and waits for the head of the response. */
  async send(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamReply, AttemptFault>> {
    try {
      const reply = await this.#client.request({
        method: request.method as "GET",
        path: request.target,
        headers: [...request.headers],
        body: request.body.length > 0 ? request.body : null,
        reset: true,
        responseHeaders: "raw",
        signal: this.#controller.signal,
      });
      const rawHeaders = readRawHeaders(reply.headers);
      const headers = indexHeaders(rawHeaders);
      // A body that is abandoned before it is read fails on its own.
      reply.body.on("error", () => {});
      return Result.ok({
        status: reply.statusCode,
        rawHeaders,
        headers,
        body: hasFraming(headers) ? reply.body : this.#readToEnd(reply.body),
      });
    } catch (failure) {
      return Result.err(this.createFault(failure));
    }
  }

  #watch(socket: Socket): void {
    this.#isConnected = true;
    // The library also ends a connection with errors of its own.
    socket.on("error", (failure) => {
      this.#isReset ||= "syscall" in failure;
    });
    // A reset that comes together with the last bytes is reported as a plain
    // end. Only a write tells the two apart: after a reset it fails at once.
    socket.on("end", () => {
      socket.write(END_PROBE);
      this.#isReset ||= socket.errored !== null;
    });
  }

  /**
   * A body without a length ends with its connection. The library takes it for
   * complete also when the connection was reset.
   */
  async *#readToEnd(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    yield* body;
    if (this.#isReset) {
      throw new Error("the connection was reset inside the body");
    }
  }

  /** The fault that a failure of this attempt stands for. */
  createFault(failure: unknown): AttemptFault {
    return {
      verdict: this.#isConnected ? "may-have-run" : "not-run",
      message: describeError(failure),
    };
  }

  /** Ends the connection at once, which also ends the upstream's work. */
  close(reason: Error): void {
    if (!this.#isClosed) {
      this.#controller.abort(reason);
      // The outcome of the destruction says nothing that is not known yet.
      this.#client.destroy(reason).catch(() => {});
    }
  }
}

/** Whether a body says itself where it ends. */
function hasFraming(headers: ReadonlyMap<string, string>): boolean {
  return headers.has("content-length") || headers.has("transfer-encoding");
}

/** With `responseHeaders: "raw"`, the library gives a list, not a record. */
function readRawHeaders(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map(String) : [];
}

function indexHeaders(raw: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    headers.set(raw[at]!.toLowerCase(), raw[at + 1]!);
  }
  return headers;
}

/**
 * Reads a whole body; fails where the upstream broke off, and where the body is
 * too large, as a faulty upstream may send bytes until its caller closes.
 */
export async function collectBody(
  body: AsyncIterable<Buffer>,
): Promise<Buffer[]> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      throw new Error(`the body is too large: over ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return chunks;
}

/**
 * Runs `onDue` at a moment or just after it, unless cancelled before. Timers
 * fire up to a millisecond early, and what is done at a deadline must not find
 * by the clock that there is time left.
 */
export function scheduleAt(
  clock: Pick<Clock, "now" | "schedule">,
  dueAt: number,
  onDue: () => void,
): () => void {
  let cancel = () => {};
  const wait = () => {
    cancel = clock.schedule(Math.ceil(dueAt - clock.now()), onTimer);
  };
  const onTimer = () => clock.now() < dueAt ? wait() : onDue();
  wait();
  return () => cancel();
}
