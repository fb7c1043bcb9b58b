/**
 * Requests as they arrive: their memory, and their bodies.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type AppliedLimits,
  type CallerMemory,
  type ChunkTurns,
  createTooLargeRefusal,
  isBodyless,
  type MemoryAccount,
  RequestBody,
} from "@zinniahill/clients";
import type { Clock } from "@zinniahill/kernel";
import { chooseQueuedUse, type QueuedUse } from "@zinniahill/policy";
import type { NodeKernel } from "../services.ts";

/** As long as Node's HTTP server gives a request to arrive. */
const BODY_TIMEOUT_MS = 300_000;
/** Objects of the HTTP server and of the task of one request. */
const REQUEST_OVERHEAD_BYTES = 4096;
/** The head is kept as raw headers and as parsed ones. */
const HEAD_COPIES = 2;

/** A request whose body may not have arrived. */
export interface ArrivingRequest {
  readonly memory: MemoryAccount;
  /** Waits for the whole body; throws a `Refusal` if it does not come. */
  read(limitBytes: number): Promise<Buffer>;
  /** Drops what nobody has read, as the request's task has ended. */
  end(): void;
}

/** Opens the account of each request and collects its body. */
export class RequestIntake {
  #clock: Clock;
  #memory: CallerMemory;
  #turns: ChunkTurns;
  #appliedLimits: AppliedLimits;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#memory = kernel.find("callerMemory");
    this.#turns = kernel.find("chunkTurns");
    this.#appliedLimits = kernel.find("appliedLimits");
  }

  /** Bounds the requests of one connection that are not answered. */
  admit({ socket }: IncomingMessage, unanswered: number): QueuedUse {
    const use = chooseQueuedUse(unanswered);
    if (use !== "serve") {
      const address = socket.remoteAddress ?? "";
      this.#appliedLimits.record("queued-requests", { address, unanswered });
    }
    return use;
  }

  /** Drops a request whose connection is closed. */
  drop(incoming: IncomingMessage): void {
    this.#memory.noteClosed(countRequestBytes(incoming));
  }

  /** Begins to collect a request, until its response is closed. */
  receive(
    id: string,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): ArrivingRequest {
    const { socket } = incoming;
    const memory = this.#memory.open(id, socket.remoteAddress);
    response.once("close", () => memory.close());
    memory.onEvict(() => {
      // An incomplete request is refused by its body.
      if (!memory.isIncomplete) {
        socket.destroy();
      }
    });
    memory.add(countRequestBytes(incoming));
    const body = isBodyless(incoming) ? undefined : new RequestBody(
      incoming,
      this.#clock,
      memory,
      this.#turns.follow(socket),
    );
    return {
      memory,
      read: async (limitBytes) => {
        if (Number(incoming.headers["content-length"] ?? 0) > limitBytes) {
          throw createTooLargeRefusal(limitBytes);
        }
        const deadlineAt = this.#clock.now() + BODY_TIMEOUT_MS;
        return await body?.read(limitBytes, deadlineAt) ?? Buffer.alloc(0);
      },
      end: () => {
        if (!incoming.complete) {
          body?.discard();
        }
        if (socket.destroyed) {
          // A response that waited for its turn does not emit `close`.
          memory.close();
        }
      },
    };
  }
}

function countRequestBytes({ rawHeaders }: IncomingMessage): number {
  const headBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return REQUEST_OVERHEAD_BYTES + HEAD_COPIES * headBytes;
}
