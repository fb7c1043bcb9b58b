/**
 * The order of requests on one connection.
 *
 * A caller may send requests before it has the answers to earlier ones. The
 * answers keep the order of the requests, so each request waits until those
 * before it are answered.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Refusal } from "@zinniahill/schema";

/**
 * Waits until a response may be written to its connection; throws a `Refusal`
 * if the connection is closed before.
 */
export function waitForTurn(
  socket: Socket,
  response: ServerResponse,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const onClose = () => {
      response.off("socket", onTurn);
      reject(
        new Refusal(
          "deadline",
          "not-run",
          "the connection was closed after the answer to an earlier request",
        ),
      );
    };
    const onTurn = () => {
      socket.off("close", onClose);
      resolve();
    };
    response.once("socket", onTurn);
    socket.once("close", onClose);
  });
}
