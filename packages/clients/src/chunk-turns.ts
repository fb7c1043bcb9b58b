/**
 * Turns of bodies that arrive in tiny chunks.
 *
 * Parsing a chunk takes about as long for one byte as for thousands, and one
 * read of a connection holds up to 64 KB of chunks. Connections with such bodies
 * are paused and read one after the other, with rests between them while the
 * node has other requests.
 *
 * @module
 */
import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import type { Clock, Service } from "@zinniahill/kernel";
import { computeRestMs, isTiny } from "@zinniahill/policy";
import type { AppliedLimits } from "./applied-limits.ts";
import type { CallerMemory } from "./caller-memory.ts";
import type { CallerServices } from "./caller-services.ts";
import { holdSocket, type Release } from "./socket-hold.ts";

/** Chunks of one read follow each other sooner than this. */
const MAX_GAP_IN_READ_MS = 1;

/** Lets connections with tiny chunks take turns. */
export class ChunkTurns implements Service {
  #clock: Clock;
  #memory: CallerMemory;
  #appliedLimits: AppliedLimits;
  #waiting = new Set<ChunkTurn>();
  #isRunning = false;

  constructor(kernel: CallerServices) {
    this.#clock = kernel.find("clock");
    this.#memory = kernel.find("callerMemory");
    this.#appliedLimits = kernel.find("appliedLimits");
  }

  /** Follows the body that arrives on a connection; it must be ended. */
  follow(socket: Socket): ChunkTurn {
    return new ChunkTurn(socket, {
      wait: (turn) => this.#wait(turn, socket),
      leave: (turn) => this.#waiting.delete(turn),
    });
  }

  dump(): unknown {
    return { waiting: this.#waiting.size };
  }

  #wait(turn: ChunkTurn, socket: Socket): void {
    this.#waiting.add(turn);
    this.#appliedLimits.record("tiny-chunks", {
      address: socket.remoteAddress ?? "",
      waiting: this.#waiting.size,
    });
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run();
    }
  }

  async #run(): Promise<void> {
    while (this.#waiting.size > 0) {
      // The chunks of a read are all parsed, also after a pause.
      await setImmediate();
      let busyMs = 0;
      for (const turn of this.#waiting) {
        busyMs += turn.takeBusyMs();
      }
      const restMs = computeRestMs(busyMs, this.#memory.size - 1);
      if (restMs > 0) {
        await this.#clock.sleep(restMs);
      }
      const [next] = this.#waiting;
      if (next !== undefined) {
        this.#waiting.delete(next);
        next.resume();
      }
    }
    this.#isRunning = false;
  }
}

/** The turns of one body. */
export class ChunkTurn {
  #socket: Socket;
  #queue: {
    wait(turn: ChunkTurn): void;
    leave(turn: ChunkTurn): void;
  };
  #release: Release | undefined;
  #count = 0;
  #bytes = 0;
  #lastAt = 0;
  #busyMs = 0;

  constructor(
    socket: Socket,
    queue: { wait(turn: ChunkTurn): void; leave(turn: ChunkTurn): void },
  ) {
    this.#socket = socket;
    this.#queue = queue;
  }

  /** Notes a chunk; its connection is paused if the chunks are tiny. */
  note(bytes: number, now: number): void {
    const gapMs = now - this.#lastAt;
    if (gapMs < MAX_GAP_IN_READ_MS) {
      this.#busyMs += gapMs;
    }
    this.#lastAt = now;
    this.#count++;
    this.#bytes += bytes;
    const arrived = { count: this.#count, bytes: this.#bytes };
    if (this.#release === undefined && isTiny(arrived)) {
      this.#release = holdSocket(this.#socket);
      this.#queue.wait(this);
    }
  }

  /** Returns how long the chunks have taken since the last call. */
  takeBusyMs(): number {
    const busyMs = this.#busyMs;
    this.#busyMs = 0;
    return busyMs;
  }

  /** Reads on until the next chunks are found to be tiny. */
  resume(): void {
    this.#count = 0;
    this.#bytes = 0;
    this.#release?.();
    this.#release = undefined;
  }

  /** Ends the turns, as the body has ended. */
  end(): void {
    this.#queue.leave(this);
    this.resume();
  }
}
