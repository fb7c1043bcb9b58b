/**
 * An open stream of events in memory.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Clock, Condition } from "@zinniahill/kernel";
import type { EngineStream } from "@zinniahill/clients";
import type { EventSink } from "../engine-model.ts";

/** Faults that a test can switch on for every stream. */
export interface StreamFaults {
  /** Events arrive this much later, in their order. */
  delayMs: number;
  /** Every event arrives twice. */
  repeats: boolean;
}

/** How a stream is connected. */
export interface MemoryStreamOptions {
  readonly request: string;
  readonly faults: StreamFaults;
  /** Whether the link from the engine to the node carries events. */
  readonly isOpen: () => boolean;
  /** Called with the number of events that the engine has sent before. */
  readonly onWrite: (index: number) => void;
}

/** A stream of events in memory; events on a link that is not open are lost. */
export class MemoryStream implements EngineStream, EventSink {
  onClose: () => void = () => {};
  #clock: Clock;
  #options: MemoryStreamOptions;
  #events: string[] = [];
  #changed = new Condition();
  #isEnded = false;
  #isDropped = false;
  #written = 0;
  #lastDue = 0;
  #silent = { engine: false, node: false };
  #closed = new AbortController();

  constructor(clock: Clock, options: MemoryStreamOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  get requestId(): string {
    return this.#options.request;
  }

  get chunks(): AsyncIterable<Uint8Array> {
    return this.#read();
  }

  /** Loses from now on what one end sends. */
  silence(sender: "engine" | "node"): void {
    this.#silent[sender] = true;
  }

  write(event: string): void {
    const copies = this.#options.faults.repeats ? 2 : 1;
    this.#deliver(() => {
      for (let copy = 0; copy < copies; copy++) {
        this.#events.push(event);
      }
    });
    this.#options.onWrite(this.#written++);
  }

  end(): void {
    this.#deliver(() => {
      this.#isEnded = true;
    });
  }

  drop(): void {
    this.#deliver(() => {
      this.#isDropped = true;
    });
  }

  close(): void {
    this.#closed.abort();
    if (!this.#silent.node) {
      this.onClose();
    }
  }

  #deliver(change: () => void): void {
    if (this.#silent.engine || !this.#options.isOpen()) {
      return;
    }
    const arrive = () => {
      change();
      this.#changed.notify();
    };
    const now = this.#clock.now();
    // A later event may not overtake one that is still under way.
    this.#lastDue = Math.max(
      this.#lastDue,
      now + this.#options.faults.delayMs,
    );
    if (this.#lastDue > now) {
      this.#clock.schedule(this.#lastDue - now, arrive);
    } else {
      arrive();
    }
  }

  async *#read(): AsyncGenerator<Uint8Array> {
    while (true) {
      const event = this.#events.shift();
      if (event !== undefined) {
        yield Buffer.from(event);
      } else if (this.#isDropped) {
        throw new Error("the connection was closed by the other side");
      } else if (this.#isEnded) {
        return;
      } else {
        await this.#changed.wait(this.#closed.signal);
      }
    }
  }
}
