/**
 * Whether the node serves or is about to stop.
 *
 * @module
 */
import { Condition, type Service } from "@zinniahill/kernel";
import { createMachine, interpret, state, transition } from "robot3";

const machine = createMachine({
  serving: state(transition("drain", "draining")),
  draining: state(),
});

/** The node's own state; other services ask it before they take new work. */
export class Lifecycle implements Service {
  readonly changed = new Condition();
  #machine = interpret(machine, () => this.changed.notify());

  /** Whether a planned stop has begun. */
  get isStopping(): boolean {
    return this.#machine.machine.current === "draining";
  }

  /** Begins a planned stop. */
  drain(): void {
    this.#machine.send("drain");
  }

  dump(): unknown {
    return { phase: this.#machine.machine.current };
  }
}
