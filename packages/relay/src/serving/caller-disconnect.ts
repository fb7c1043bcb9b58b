/**
 * Detects callers that disconnect before they have their response.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Shared abort reason; without one, each abort would capture a stack trace. */
const CALLER_DISCONNECTED = new Error("the caller disconnected");

/**
 * Returns a signal that is aborted when the caller disconnects before it has
 * the complete response.
 */
export function watchDisconnect(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  const onDisconnect = () => {
    if (!response.writableFinished) {
      controller.abort(CALLER_DISCONNECTED);
    }
  };
  const { socket } = response;
  if (response.destroyed || socket === null || socket.readableEnded) {
    onDisconnect();
  }
  // The response emits `close` some event loop turns after the caller's end of
  // the connection is read, and a turn of a busy node takes long.
  socket?.once("end", onDisconnect);
  response.once("close", () => {
    onDisconnect();
    socket?.off("end", onDisconnect);
  });
  return controller.signal;
}
