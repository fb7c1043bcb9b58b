/**
 * Lifecycle of a node, from its start to its graceful shutdown.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { Service } from "@zinniahill/kernel";
import { createMachine, interpret, state, transition } from "robot3";

const machine = createMachine({
  starting: state(
    transition("serve", "serving"),
    transition("drain", "draining"),
  ),
  serving: state(transition("drain", "draining")),
  draining: state(transition("close", "closing")),
  closing: state(),
});

const NODE_STOPS = new Error("the node stops");

/** State of the node; other services check it before they take new work. */
export class Lifecycle implements Service {
  #listeners = new Set<() => void>();
  #expiry = new AbortController();
  #machine = interpret(machine, () => {
    this.#listeners.forEach((listener) => listener());
  });

  /** Whether lookups may direct callers to this node. */
  get isServing(): boolean {
    return this.#phase === "serving";
  }

  constructor() {
    // Each request in flight listens.
    setMaxListeners(0, this.#expiry.signal);
  }

  /** Aborted when requests in flight have to end before the process does. */
  get expirySignal(): AbortSignal {
    return this.#expiry.signal;
  }

  /** Whether a graceful shutdown has begun; requests are served until `close`. */
  get isDraining(): boolean {
    return this.#phase === "draining" || this.#phase === "closing";
  }

  /** Whether new requests are refused. */
  get isClosing(): boolean {
    return this.#phase === "closing";
  }

  /** Registers a listener that is called after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Begins to serve, once the node has its initial state. */
  serve(): void {
    this.#machine.send("serve");
  }

  /** Begins a graceful shutdown; further calls have no effect. */
  drain(): void {
    this.#machine.send("drain");
  }

  /** Stops accepting requests in a graceful shutdown. */
  close(): void {
    this.#machine.send("close");
  }

  /** Ends the requests that are still in flight, with an answer to each. */
  expire(): void {
    this.#expiry.abort(NODE_STOPS);
  }

  dump(): unknown {
    return { phase: this.#phase };
  }

  get #phase(): string {
    return this.#machine.machine.current;
  }
}
