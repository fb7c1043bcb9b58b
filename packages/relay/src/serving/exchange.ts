/**
 * One request to one upstream instance, on its own connection.
 *
 * A reused connection may carry a late response to an earlier request. The
 * upstream may also close it just as a request is sent that must not run twice.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { type Clock, describeError } from "@zinniahill/kernel";
import type { Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";
import { buildConnector, Client } from "undici";

/** A request to an upstream instance. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Head of an upstream's response, and the body as it arrives. */
export interface UpstreamResponse {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  /** The last value of each header, by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  /** Ends without an error only if the body is complete. */
  readonly body: AsyncIterable<Buffer>;
}

/** Failure of an attempt that got no usable response. */
export interface AttemptFault {
  readonly verdict: Verdict;
  readonly message: string;
}

/** A reachable upstream accepts a connection within a few ms. */
const CONNECT_TIMEOUT_MS = 250;

/** Buffered responses are a few kB; a node holds hundreds of them at once. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** An empty line before the next request, which HTTP servers ignore. */
const RESET_PROBE = "\r\n";

/** One attempt; it must be closed after use. */
export class Exchange {
  #client: Client;
  #controller = new AbortController();
  #hasConnected = false;
  #isReset = false;

  constructor(address: string) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.#client = new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      connect: (target, callback) => {
        connect(target, (...result) => {
          // A caller disconnect that is read in the same event loop turn is
          // handled first, so that its request is not sent.
          setImmediate(() => {
            // On failure, undici passes an undefined socket instead of null.
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
  get hasConnected(): boolean {
    return this.#hasConnected;
  }

  get #isClosed(): boolean {
    return this.#controller.signal.aborted;
  }

  /** Sends a request and waits for the response head. */
  async send(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, AttemptFault>> {
    try {
      const response = await this.#client.request({
        method: request.method as "GET",
        path: request.target,
        headers: [...request.headers],
        body: request.body.length > 0 ? request.body : null,
        reset: true,
        responseHeaders: "raw",
        signal: this.#controller.signal,
      });
      const rawHeaders = convertRawHeaders(response.headers);
      const headers = indexHeaders(rawHeaders);
      // A body that is discarded unread emits an error.
      response.body.on("error", () => {});
      return Result.ok({
        status: response.statusCode,
        rawHeaders,
        headers,
        body: hasBodyFraming(headers)
          ? response.body
          : this.#readUntilClose(response.body),
      });
    } catch (failure) {
      return Result.err(this.createFault(failure));
    }
  }

  #watch(socket: Socket): void {
    this.#hasConnected = true;
    // undici also closes connections with errors of its own, which have no
    // `syscall`.
    socket.on("error", (failure) => {
      this.#isReset ||= "syscall" in failure;
    });
    // A reset that arrives together with the last bytes is reported as a normal
    // end. Only a write tells the two apart: after a reset it fails at once.
    socket.on("end", () => {
      socket.write(RESET_PROBE);
      this.#isReset ||= socket.errored !== null;
    });
  }

  /**
   * Reads a body without a length, which ends with its connection. undici
   * treats it as complete even if the connection was reset.
   */
  async *#readUntilClose(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    yield* body;
    if (this.#isReset) {
      throw new Error("the connection was reset within the body");
    }
  }

  /** Converts an error of this attempt to a fault. */
  createFault(failure: unknown): AttemptFault {
    return {
      verdict: this.#hasConnected ? "may-have-run" : "not-run",
      message: describeError(failure),
    };
  }

  /**
   * Closes the connection immediately, which also aborts the upstream's work.
   */
  close(reason: Error): void {
    if (!this.#isClosed) {
      this.#controller.abort(reason);
      // Errors while closing are irrelevant: the attempt has already ended.
      this.#client.destroy(reason).catch(() => {});
    }
  }
}

/** Whether the headers determine where the body ends. */
function hasBodyFraming(headers: ReadonlyMap<string, string>): boolean {
  return headers.has("content-length") || headers.has("transfer-encoding");
}

/** With `responseHeaders: "raw"`, undici returns a list instead of a record. */
function convertRawHeaders(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map(String) : [];
}

function indexHeaders(raw: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.set(raw[index]!.toLowerCase(), raw[index + 1]!);
  }
  return headers;
}

/**
 * Reads a complete body. Throws if it is cut off or too large, as a faulty
 * upstream may send bytes until the connection is closed.
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
 * Calls `onDue` at or just after `dueAt`; the result cancels the call. Timers
 * fire up to 1 ms early, and code that runs at a deadline must not see time
 * left on the clock.
 */
export function scheduleAt(
  clock: Pick<Clock, "now" | "schedule">,
  dueAt: number,
  onDue: () => void,
): () => void {
  let cancel = () => {};
  const arm = () => {
    cancel = clock.schedule(Math.ceil(dueAt - clock.now()), onTimer);
  };
  const onTimer = () => clock.now() < dueAt ? arm() : onDue();
  arm();
  return () => cancel();
}
