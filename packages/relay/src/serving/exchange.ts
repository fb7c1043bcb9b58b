/**
 * One request to one upstream instance.
 *
 * A kept connection may carry a late response to an earlier request, so the
 * response must name the request. The upstream may also close the connection
 * just as a request is sent, so a request that must not run twice never uses a
 * kept one.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { STATUS_CODES } from "node:http";
import { setImmediate } from "node:timers/promises";
import { type Clock, describeError } from "@zinniahill/kernel";
import type { Verdict } from "@zinniahill/schema";
import { Result } from "true-myth";
import {
  appendCounted,
  type BodyMemory,
  ByteBuffer,
  isStatusCode,
} from "@zinniahill/clients";
import { type MemoryUse, ResponseBody } from "./response-body.ts";
import { UpstreamConnection } from "./upstream-connection.ts";

/** A request to an upstream instance. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Bound on all bytes of the answer, whatever they are. */
  readonly maxAnswerBytes: number;
}

/** Head of an upstream's response, and the body as it arrives. */
export interface UpstreamResponse {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  /** The last value of each header, by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  /** Names of headers that came twice, with different values. */
  readonly conflictingHeaders: ReadonlySet<string>;
  /** Whether the head holds the beginning of another one. */
  readonly isMerged: boolean;
  /** Whether the headers say where the body ends, not only its connection. */
  readonly isFramed: boolean;
  /** Ends without an error only if the body is complete. */
  readonly body: AsyncIterable<Buffer>;
}

/** Failure of an attempt that got no usable response. */
export interface AttemptFault {
  readonly verdict: Verdict;
  readonly message: string;
  readonly endedBy: "node" | "upstream";
}

/** Buffered responses are a few kB; a node holds hundreds of them at once. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Lower statuses announce a response. */
const MIN_FINAL_STATUS = 200;
/** Of more informational heads, there may be no end. */
const MAX_INFORMATIONAL_HEADS = 16;
const TOO_MANY_HEADS = new Error(
  `over ${MAX_INFORMATIONAL_HEADS} informational heads came before the response`,
);
const CLOSED = new Error("the attempt has ended");
/** Responses with these statuses have no body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const LAST_CODING_IS_CHUNKED = /(^|,)[ \t]*chunked[ \t]*$/i;
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;

/** For answers that are not bounded together with others. */
const UNCOUNTED: BodyMemory = { add() {}, remove() {}, noteCopied() {} };

/** Where an exchange leaves a connection that it does not need any more. */
type ConnectionSink = (connection: UpstreamConnection) => void;

/** What an exchange uses beside its connection. */
export interface ExchangeOptions {
  /** A connection that was kept for further requests. */
  readonly kept?: UpstreamConnection | undefined;
  /** Takes the connection once the response was read completely. */
  readonly keep?: ConnectionSink | undefined;
  readonly memory?: MemoryUse;
  /** Whether the process of the upstream has ended by now. */
  readonly hasUpstreamEnded?: () => Promise<boolean>;
}

/** What is known of a response before its body. */
interface ResponseHead {
  readonly status: number;
  readonly reason: string;
  readonly rawHeaders: readonly string[];
  /** Whether the head is the whole response. */
  readonly isBodyless: boolean;
}

/** One attempt; it must be closed after use. */
export class Exchange {
  #connection: UpstreamConnection;
  #isKept: boolean;
  #keep: ConnectionSink | undefined;
  #isSent = false;
  #isClosed = false;
  #memory: MemoryUse;
  #body: ResponseBody | undefined;
  /** Whether the connection may be kept once the body was read. */
  #isReusable = false;
  #hasUpstreamEnded: () => Promise<boolean>;
  /** Resolves with the reason when this node ends the exchange. */
  readonly ended: Promise<Error>;
  #resolveEnded: (reason: Error) => void = () => {};

  constructor(
    address: string,
    {
      kept,
      keep,
      memory = UNCOUNTED,
      hasUpstreamEnded = () => Promise.resolve(false),
    }: ExchangeOptions = {},
  ) {
    this.#connection = kept ?? new UpstreamConnection(address);
    this.#isKept = kept !== undefined;
    this.#keep = keep;
    this.#memory = memory;
    this.#hasUpstreamEnded = hasUpstreamEnded;
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
  }

  /** Whether the upstream may have received the request. */
  get hasConnected(): boolean {
    return this.#isKept ? this.#isSent : this.#connection.hasConnected;
  }

  /** Whether the connection has carried responses to other requests. */
  get isKept(): boolean {
    return this.#isKept;
  }

  /** Whether this node has ended the exchange. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Sends a request and waits for the response head. */
  async send(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, AttemptFault>> {
    if (this.#isKept) {
      // A caller disconnect that is read in the same event loop turn is
      // handled first, so that its request is not sent.
      await setImmediate();
    }
    if (this.#isClosed) {
      return Result.err(this.createFault(CLOSED));
    }
    this.#isSent = true;
    return new Promise((resolve) => this.#dispatch(request, resolve));
  }

  #dispatch(
    { method, target, headers, body, maxAnswerBytes }: UpstreamRequest,
    resolve: (sent: Result<UpstreamResponse, AttemptFault>) => void,
  ): void {
    let informationalHeads = 0;
    this.#connection.limitBytes(maxAnswerBytes);
    this.#connection.dispatch({
      method: method as "GET",
      path: target,
      headers: [...headers],
      body: body.length > 0 ? body : null,
      reset: this.#keep === undefined,
    }, {
      onRequestStart: () => {},
      onResponseStart: (controller, status, _headers, reason = "") => {
        if (status < MIN_FINAL_STATUS) {
          informationalHeads++;
          if (informationalHeads > MAX_INFORMATIONAL_HEADS) {
            this.#connection.close(TOO_MANY_HEADS);
          }
          return;
        }
        if (!isStatusCode(status)) {
          this.#connection.close(
            new Error(`${status} is not an HTTP status code`),
          );
          return;
        }
        this.#body = new ResponseBody(controller, this.#memory);
        const rawHeaders = convertRawHeaders(controller.rawHeaders);
        const isBodyless = method === "HEAD" || BODYLESS_STATUSES.has(status);
        resolve(Result.ok(
          this.#createResponse(
            { status, reason, rawHeaders, isBodyless },
            this.#body,
          ),
        ));
      },
      onResponseData: (_controller, chunk) => this.#body?.push(chunk),
      onResponseEnd: () => this.#body?.complete(),
      onResponseError: (_controller, failure) => {
        this.#body?.fail(failure);
        resolve(Result.err(this.createFault(failure)));
      },
    });
  }

  #createResponse(
    { status, reason, rawHeaders, isBodyless }: ResponseHead,
    body: ResponseBody,
  ): UpstreamResponse {
    const { headers, conflicts } = indexHeaders(rawHeaders);
    const isUsual = isUsualReason(status, reason);
    // With other reason phrases, merged heads could not be recognized later.
    this.#isReusable = this.#keep !== undefined && isUsual &&
      isKeepAlive(headers);
    const isFramed = hasBodyFraming(headers);
    return {
      status,
      rawHeaders,
      headers,
      conflictingHeaders: conflicts,
      isMerged: this.#isKept && (!isUsual || holdsStatusLine(rawHeaders)),
      isFramed,
      body: isFramed || isBodyless ? body : this.#readUntilClose(body),
    };
  }

  /**
   * Reads a body without a length, which ends with its connection. The operating
   * system ends the connections of a killed process like those of a complete
   * answer, so the process must still run.
   */
  async *#readUntilClose(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    yield* body;
    if (!this.#isClosed && await this.#hasUpstreamEnded()) {
      throw new Error("the upstream process ended with the connection");
    }
  }

  /** Converts an error of this attempt to a fault. */
  createFault(failure: unknown): AttemptFault {
    return {
      verdict: this.hasConnected ? "may-have-run" : "not-run",
      message: describeError(failure),
      endedBy: this.#isClosed ? "node" : "upstream",
    };
  }

  /**
   * Ends the exchange. Unless the response was read completely, this closes the
   * connection, which also aborts the upstream's work.
   */
  close(reason: Error): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    this.#resolveEnded(reason);
    const isReusable = this.#isReusable && this.#body?.isRead === true;
    if (isReusable && this.#connection.isOpen) {
      this.#keep?.(this.#connection);
    } else {
      this.#body?.discard(reason);
      this.#connection.close(reason);
    }
  }
}

/**
 * Whether the headers determine where the body ends. With a last transfer coding
 * other than chunked it ends with its connection (RFC 9112, section 6.3).
 */
function hasBodyFraming(headers: ReadonlyMap<string, string>): boolean {
  const coding = headers.get("transfer-encoding");
  return coding === undefined
    ? headers.has("content-length")
    : LAST_CODING_IS_CHUNKED.test(coding);
}

/** Whether the connection stays open after the response. */
function isKeepAlive(headers: ReadonlyMap<string, string>): boolean {
  const connection = headers.get("connection")?.toLowerCase() ?? "";
  return hasBodyFraming(headers) && !connection.includes("close");
}

/** Converts header names and values, which undici passes as buffers. */
function convertRawHeaders(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map(String) : [];
}

/** The headers of a response by lower-case name. */
interface HeaderIndex {
  readonly headers: ReadonlyMap<string, string>;
  readonly conflicts: ReadonlySet<string>;
}

function indexHeaders(rawHeaders: readonly string[]): HeaderIndex {
  const headers = new Map<string, string>();
  const conflicts = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const value = rawHeaders[index + 1]!;
    if ((headers.get(name) ?? value) !== value) {
      conflicts.add(name);
    }
    headers.set(name, value);
  }
  return { headers, conflicts };
}

/**
 * Whether a reason phrase is the usual one, or none. The parser passes only the
 * last piece of one that arrives in pieces.
 */
function isUsualReason(status: number, reason: string): boolean {
  const usual = STATUS_CODES[status] ?? "";
  return usual.toLowerCase().endsWith(reason.toLowerCase());
}

/**
 * Whether a value holds the status line of another head. A head that is cut off
 * within a value goes on with the next head on its connection.
 */
function holdsStatusLine(rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((text) => STATUS_LINE.test(text));
}

/**
 * Reads a complete body, which the memory holds from then on. Throws if it is
 * cut off or too large, as a faulty upstream may send bytes until the
 * connection is closed.
 */
export async function collectBody(
  body: AsyncIterable<Buffer>,
  memory: BodyMemory = UNCOUNTED,
): Promise<Buffer> {
  const collected = new ByteBuffer();
  try {
    for await (const chunk of body) {
      appendCounted(collected, chunk, memory);
      if (collected.length > MAX_BODY_BYTES) {
        throw new Error(`the body is too large: over ${MAX_BODY_BYTES} bytes`);
      }
    }
  } catch (failure) {
    memory.remove(collected.capacity);
    throw failure;
  }
  return collected.view;
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
