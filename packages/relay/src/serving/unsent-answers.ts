/**
 * Answers that were handed to their connections and that the operating system
 * has not taken yet, as their callers read slowly.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Logger } from "@zinniahill/kernel";
import type { RelayMetrics } from "../relay-metrics.ts";

/** Who closed a connection before its answer was sent. */
export type CutSource = "caller" | "node";

/** Follows answers until they are sent, and reports those that are not. */
export class UnsentAnswers {
  #logger: Logger;
  #metrics: RelayMetrics;
  /** Ids of the requests, by response. */
  #requests = new Map<ServerResponse, string>();

  constructor(logger: Logger, metrics: RelayMetrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Number of answers that are not sent. */
  get count(): number {
    return this.#requests.size;
  }

  /** Follows an answer whose last byte was written to its connection. */
  follow(request: string, response: ServerResponse): void {
    const { socket } = response;
    const isFollowed = response.writableEnded && !response.writableFinished &&
      !response.destroyed && socket !== null;
    if (!isFollowed) {
      return;
    }
    this.#requests.set(response, request);
    // Node also emits it when the connection was destroyed before.
    response.once("finish", () => {
      if (!socket.destroyed) {
        this.#requests.delete(response);
      }
    });
    response.once("close", () => {
      if (this.#requests.delete(response)) {
        this.#reportCut(request, "caller", undefined);
      }
    });
  }

  /** Reports all answers, as this node is about to close their connections. */
  abandon(): void {
    for (const [response, request] of this.#requests) {
      this.#reportCut(request, "node", response.writableLength);
    }
    this.#requests.clear();
  }

  #reportCut(
    request: string,
    by: CutSource,
    unsentBytes: number | undefined,
  ): void {
    this.#metrics.recordCut(by);
    this.#logger[by === "node" ? "warn" : "info"]("answer_cut", {
      request,
      by,
      unsent_bytes: unsentBytes,
    });
  }
}
