/**
 * Whether the node serves or is about to stop.
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

/** The node's own state; other services ask it before they take new work. */
export class Lifecycle implements Service {
  #listeners = new Set<() => void>();
  #machine = interpret(machine, () => {
    this.#listeners.forEach((listener) => listener());
  });

  /** Whether callers may be sent to this node. */
  get isServing(): boolean {
    return this.#phase === "serving";
  }

  /** Whether a planned stop has begun; requests that still come are served. */
  get isDraining(): boolean {
    return this.#phase === "draining" || this.#phase === "closing";
  }

  /** Whether new requests are refused. */
  get isClosing(): boolean {
    return this.#phase === "closing";
  }

  /** Calls a listener after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** The node has a configuration and can serve. */
  serve(): void {
    this.#machine.send("serve");
  }

  /** Begins a planned stop; a repeat changes nothing. */
  drain(): void {
    this.#machine.send("drain");
  }

  /** Ends the time in which requests of a stopping node are accepted. */
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
