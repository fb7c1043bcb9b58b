/**
 * Whether a caller still waits for its reply.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Without a reason, each abort would record a stack of its own. */
const CALLER_GONE = new Error("the caller has gone");

/** Aborts when the caller goes before it has the whole reply. */
export function watchDisconnect(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  const onGone = () => {
    if (!response.writableFinished) {
      controller.abort(CALLER_GONE);
    }
  };
  const { socket } = response;
  if (response.destroyed || socket === null || socket.readableEnded) {
    onGone();
  }
  // The response closes turns later than the caller's end of the connection is
  // read, and a turn of a busy node takes long.
  socket?.once("end", onGone);
  response.once("close", () => {
    onGone();
    socket?.off("end", onGone);
  });
  return controller.signal;
}
