/**
 * A connection that is not read for a time.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Ends a hold. */
export type Release = () => void;

/**
 * Stops reading from a server's connection until the result is called. The HTTP
 * server resumes a paused connection whenever a request's body has room, so the
 * connection is paused again each time.
 */
export function holdSocket(socket: Socket): Release {
  const pause = () => {
    socket.pause();
  };
  socket.on("resume", pause);
  pause();
  return () => {
    socket.off("resume", pause);
    socket.resume();
  };
}
