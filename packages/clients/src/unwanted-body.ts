/**
 * Requests with a body at a listener that takes none.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { holdSocket } from "./socket-hold.ts";

const TOO_LARGE = 413;
/** How long the refusal may take to its caller before the connection closes. */
const LINGER_MS = 500;

/** Whether a request has a body, however it is framed. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) !== 0;
}

/** Refuses a request without reading its body, and closes the connection. */
export function refuseBody(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { socket } = request;
  holdSocket(socket);
  const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
  socket.once("close", () => clearTimeout(timer));
  response.writeHead(TOO_LARGE, { connection: "close" }).end();
}
