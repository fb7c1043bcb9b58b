/**
 * Lifecycle of a node, from its start to its graceful shutdown.
 *
 * @module
 */
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

/** State of the node; other services check it before they take new work. */
export class Lifecycle implements Service {
  #listeners = new Set<() => void>();
  #machine = interpret(machine, () => {
    this.#listeners.forEach((listener) => listener());
  });

  /** Whether lookups may direct callers to this node. */
  get isServing(): boolean {
    return this.#phase === "serving";
  }

  /**
   * Whether a graceful shutdown has begun; until it closes, requests are
   * served.
   */
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

  /** Begins to serve, as the node has its initial state. */
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

  dump(): unknown {
    return { phase: this.#phase };
  }

  get #phase(): string {
    return this.#machine.machine.current;
  }
}
