/**
 * Whether the node serves or is about to stop.
 *
 * @module
 */
import { Condition, type Service } from "@zinniahill/kernel";
import { createMachine, interpret, state, transition } from "robot3";

const machine = createMachine({
  serving: state(transition("drain", "draining")),
  draining: state(transition("close", "closing")),
  closing: state(),
});

/** The node's own state; other services ask it before they take new work. */
export class Lifecycle implements Service {
  readonly changed = new Condition();
  #machine = interpret(machine, () => this.changed.notify());

  /**
   * Whether a planned stop has begun. Callers are sent elsewhere and no lease
   * is renewed; requests that still come are served.
   */
  get isStopping(): boolean {
    return this.#machine.machine.current !== "serving";
  }

  /**
   * Whether new requests are to be refused with `stopping` and `not-run`. No
   * caller keeps an answer that names this node any more.
   */
  get isClosing(): boolean {
    return this.#machine.machine.current === "closing";
  }

  /** Begins a planned stop; a repeat changes nothing. */
  drain(): void {
    this.#machine.send("drain");
  }

  /** Ends the time in which requests of a stopping node are still accepted. */
  close(): void {
    this.#machine.send("close");
  }

  dump(): unknown {
    return { phase: this.#machine.machine.current };
  }
}
