/**
 * A client's TCP connection that tells a reset from an end.
 *
 * @module
 */
import { Socket, type SocketConstructorOpts } from "node:net";
import type { DuplexOptions } from "node:stream";

/** An empty line after a request, which HTTP servers ignore. */
const RESET_PROBE = "\r\n";
/**
 * Bounds the wait for pending bytes. A reset that follows an end arrives within a
 * round trip and a retransmission, but a server that has answered may never read
 * the rest of the request.
 */
const MAX_END_DELAY_MS = 1000;
const RESET_CODE = "ECONNRESET";

type SocketOptions =
  & SocketConstructorOpts
  & Pick<DuplexOptions, "highWaterMark">;

/**
 * Ends only if the other side has ended its half; a reset is an error, also for
 * an HTTP parser that reads a body without a length.
 *
 * Node reports a reset that arrives together with the last bytes as a normal
 * end. Only a write tells the two apart, as it fails after a reset. So "end" is
 * emitted once all pending bytes and a probe behind them are written, and not if
 * that fails.
 */
export class ClientSocket extends Socket {
  #timer: NodeJS.Timeout | undefined;
  #isEndEmitted = false;

  constructor(options?: SocketOptions) {
    super(options);
  }

  override emit(event: string | symbol, ...values: unknown[]): boolean {
    if (event === "end") {
      this.#probe();
      return true;
    }
    return super.emit(event, ...values);
  }

  override _destroy(
    failure: Error | null,
    callback: (failure?: Error | null) => void,
  ): void {
    clearTimeout(this.#timer);
    super._destroy(convertReset(failure), callback);
  }

  #probe(): void {
    this.#timer = setTimeout(() => {
      // A reset that arrived while the process stood still is handled first.
      setImmediate(() => this.#emitEnd());
    }, MAX_END_DELAY_MS);
    this.write(RESET_PROBE, (failure) => {
      // A write that fails destroys the socket.
      if (failure === null || failure === undefined) {
        this.#emitEnd();
      }
    });
  }

  #emitEnd(): void {
    clearTimeout(this.#timer);
    if (!this.#isEndEmitted && !this.destroyed) {
      this.#isEndEmitted = true;
      super.emit("end");
    }
  }
}

/** undici takes an error with the code of a reset for the end of a body. */
function convertReset(failure: Error | null): Error | null {
  return failure !== null && "code" in failure && failure.code === RESET_CODE
    ? new Error("the connection was reset", { cause: failure })
    : failure;
}
