/**
 * A connection to an upstream instance, which serves one request at a time.
 *
 * @module
 */
import type { Socket } from "node:net";
import { createConnector } from "@zinniahill/clients";
import { Client, type Dispatcher } from "undici";

/** A reachable upstream accepts a connection within a few ms. */
const CONNECT_TIMEOUT_MS = 250;
/** An idle connection is closed after this time. */
export const MAX_IDLE_MS = 4000;
/** A connection is closed this long before the upstream closes it. */
const IDLE_MARGIN_MS = 500;
const TOO_MANY_BYTES = new Error("the upstream sent more than an answer");

/** Connects with its first request. */
export class UpstreamConnection {
  #client: Client;
  #socket: Socket | undefined;
  #hasConnected = false;
  #isClosed = false;
  #maxBytes = 0;
  /** Bytes that had arrived when the limit was set. */
  #bytesBefore = 0;
  /** Called when the upstream or this node has closed the connection. */
  onClose: () => void = () => {};

  constructor(address: string) {
    const connect = createConnector(CONNECT_TIMEOUT_MS);
    this.#client = new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      keepAliveTimeout: MAX_IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (target, callback) => {
        connect(target, (...result) => {
          // A caller disconnect that is read in the same event loop turn is
          // handled first, so that its request is not sent.
          setImmediate(() => {
            if (result[1] !== null && !this.#isClosed) {
              this.#watch(result[1]);
            }
            callback(...result);
          });
        });
      },
    });
  }

  /** Whether the upstream may have received bytes. */
  get hasConnected(): boolean {
    return this.#hasConnected;
  }

  /** Whether the connection has been established and neither side ended it. */
  get isOpen(): boolean {
    return !this.#isClosed && this.#socket?.readyState === "open";
  }

  /**
   * Closes the connection once more bytes arrive from now on. It counts all of
   * them, as an upstream may also send without end where the parser keeps
   * nothing: empty lines before the head, informational heads, trailers.
   */
  limitBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
    this.#bytesBefore = this.#socket?.bytesRead ?? 0;
  }

  /** Sends a request; the handler receives its response. */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#client.dispatch(options, handler);
  }

  /** Closes the connection at once, which also aborts the upstream's work. */
  close(reason: Error): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      // Errors while closing are irrelevant: nothing waits for a response.
      this.#client.destroy(reason).catch(() => {});
      this.onClose();
    }
  }

  #watch(socket: Socket): void {
    this.#socket = socket;
    this.#hasConnected = true;
    socket.on("readable", () => {
      if (socket.bytesRead - this.#bytesBefore > this.#maxBytes) {
        this.close(TOO_MANY_BYTES);
      }
    });
    socket.on("close", () => this.onClose());
  }
}
