/**
 * Closes a server's connection to a caller that is still sending its request.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Closes the connection once the response is written, but not at once: bytes
 * that are still unread would reset it before the caller has read the response.
 * After `lingerMs` it is closed in any case.
 */
export function closeAfterLinger(
  response: ServerResponse,
  lingerMs: number,
): void {
  const { socket } = response;
  response.setHeader("connection", "close");
  response.once("finish", () => {
    socket?.end();
    // Node resets a socket's own timeout with each read of a request.
    const timer = setTimeout(() => socket?.destroy(), lingerMs).unref();
    socket?.once("close", () => clearTimeout(timer));
  });
}
