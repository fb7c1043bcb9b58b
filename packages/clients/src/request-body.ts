/**
 * The body of a caller's request, collected as it arrives.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { type Clock, describeError } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { appendCounted, ByteBuffer } from "./byte-buffer.ts";
import type { ChunkTurn } from "./chunk-turns.ts";
import type { MemoryAccount } from "./memory-account.ts";
import { holdSocket, type Release } from "./socket-hold.ts";

/** More of a body is read once the requests before it are answered. */
const MAX_QUEUED_BYTES = 64 * 1024;
/** Other bodies have ended, or were given up, by then. */
const EVICTED_RETRY_AFTER_MS = 1000;

/** Whether a request says that it has no body. */
export function isBodyless({ headers }: IncomingMessage): boolean {
  return Number(headers["content-length"] ?? 0) === 0 &&
    headers["transfer-encoding"] === undefined;
}

/** Collects a body in one piece of memory, which its account counts. */
export class RequestBody {
  #incoming: IncomingMessage;
  #clock: Clock;
  #memory: MemoryAccount;
  #turn: ChunkTurn;
  #collected = new ByteBuffer();
  #limitBytes: number | undefined;
  #releaseQueued: Release | undefined;
  #withdrawEviction: () => void;
  #isComplete = false;
  #failure: Refusal | undefined;
  /** Called when the body is complete or has failed. */
  #onSettled: () => void = () => {};

  constructor(
    incoming: IncomingMessage,
    clock: Clock,
    memory: MemoryAccount,
    turn: ChunkTurn,
  ) {
    this.#incoming = incoming;
    this.#clock = clock;
    this.#memory = memory;
    this.#turn = turn;
    memory.await("body");
    memory.progressAt = clock.now();
    this.#withdrawEviction = memory.onEvict(() => this.#fail(createEvicted()));
    if (memory.isEvicted) {
      this.#fail(createEvicted());
    }
    incoming.on("data", (chunk: Buffer) => this.#append(chunk));
    incoming.once("end", () => this.#complete());
    incoming.once("error", (failure) => this.#fail(createUnread(failure)));
    incoming.once("close", () => this.#close());
  }

  /** Waits for the whole body; throws a `Refusal` if it does not come. */
  async read(limitBytes: number, deadlineAt: number): Promise<Buffer> {
    this.#limitBytes = limitBytes;
    this.#checkSize();
    this.#releaseQueued?.();
    const cancel = this.#clock.schedule(
      deadlineAt - this.#clock.now(),
      () =>
        this.#fail(createUnread("the body did not arrive before the deadline")),
    );
    try {
      await this.#waitUntilSettled();
    } finally {
      cancel();
    }
    if (this.#failure !== undefined) {
      throw this.#failure;
    }
    this.#withdrawEviction();
    return this.#collected.view;
  }

  /** Drops what has arrived and what still arrives. */
  discard(): void {
    this.#fail(createUnread("the request was refused"));
    this.#releaseQueued?.();
  }

  #waitUntilSettled(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#isSettled) {
        resolve();
      } else {
        this.#onSettled = resolve;
      }
    });
  }

  get #isSettled(): boolean {
    return this.#isComplete || this.#failure !== undefined;
  }

  #append(chunk: Buffer): void {
    const now = this.#clock.now();
    this.#turn.note(chunk.length, now);
    if (this.#isSettled) {
      return;
    }
    this.#memory.progressAt = now;
    appendCounted(this.#collected, chunk, this.#memory);
    this.#checkSize();
  }

  /** Bounds a body whose turn has come, and pauses one that waits for it. */
  #checkSize(): void {
    const { length } = this.#collected;
    if (this.#limitBytes === undefined) {
      if (length > MAX_QUEUED_BYTES && !this.#isSettled) {
        this.#releaseQueued ??= holdSocket(this.#incoming.socket);
      }
    } else if (length > this.#limitBytes) {
      this.#fail(createTooLargeRefusal(this.#limitBytes));
    }
  }

  #complete(): void {
    this.#isComplete = true;
    this.#memory.resolve("body");
    this.#turn.end();
    this.#onSettled();
  }

  /** Gives the body up; what has arrived is dropped. */
  #fail(refusal: Refusal): void {
    if (this.#failure !== undefined || this.#isComplete) {
      return;
    }
    this.#failure = refusal;
    this.#memory.remove(this.#collected.capacity);
    this.#collected = new ByteBuffer();
    this.#onSettled();
  }

  #close(): void {
    this.#turn.end();
    this.#fail(createUnread("the connection was closed"));
  }
}

/** Creates the refusal of a body over the configured limit. */
export function createTooLargeRefusal(limitBytes: number): Refusal {
  const message = `the body is larger than ${limitBytes} bytes`;
  return new Refusal("too-large", "not-run", message);
}

function createEvicted(): Refusal {
  return new Refusal(
    "overloaded",
    "not-run",
    "requests that have not arrived completely hold too much memory",
    EVICTED_RETRY_AFTER_MS,
  );
}

function createUnread(reason: unknown): Refusal {
  return new Refusal("unread-request", "not-run", describeError(reason));
}
