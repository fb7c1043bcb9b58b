/**
 * Connects HTTP clients to servers.
 *
 * @module
 */
import type { buildConnector } from "undici";
import { ClientSocket } from "./client-socket.ts";

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_PORT = 80;
const KEEP_ALIVE_DELAY_MS = 60_000;
/** Most responses arrive in one read. */
const READ_BUFFER_BYTES = 64 * 1024;

/**
 * Creates a connector for undici, without TLS, whose connections fail when they
 * are reset. One that is not established within `timeoutMs` fails as well.
 */
export function createConnector(
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = new ClientSocket({ highWaterMark: READ_BUFFER_BYTES });
    const timer = setTimeout(() => {
      // A connection established while the process stood still is handled first.
      setImmediate(() => {
        if (socket.connecting) {
          socket.destroy(createTimeoutError(timeoutMs));
        }
      });
    }, timeoutMs);
    const onFailure = (failure: Error) => {
      clearTimeout(timer);
      callback(failure, null);
    };
    socket.once("error", onFailure);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onFailure);
      callback(null, socket);
    });
    // Errors after the client has given the connection up are irrelevant.
    socket.on("error", () => {});
    socket.setNoDelay(true).setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    socket.connect(Number(port) || DEFAULT_PORT, hostname);
  };
}

/** A failure to connect, like those of the operating system. */
function createTimeoutError(timeoutMs: number): Error {
  return Object.assign(
    new Error(`no connection was established within ${timeoutMs} ms`),
    { code: "ETIMEDOUT", syscall: "connect" },
  );
}
