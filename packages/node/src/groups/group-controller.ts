/**
 * The keeping of groups: what the holder of a data centre's lease does.
 *
 * @module
 */
import { type Clock, type Service, TaskGroup } from "@zinniahill/kernel";
import { GroupPhase } from "@zinniahill/schema";
import { createMachine, interpret, state, transition } from "robot3";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import { GroupSteps } from "./group-steps.ts";
import type { HeldLease, Leases } from "./leases.ts";
import { Orders } from "./orders.ts";
import { ScopeController } from "./scope-controller.ts";

const ROUND_INTERVAL_MS = 250;

/** The states of a group; each event is named after the state it leads to. */
const PHASES = {
  assigned: state(
    transition("loading", "loading"),
    transition("draining", "draining"),
    transition("retired", "retired"),
  ),
  loading: state(
    transition("ready", "ready"),
    transition("draining", "draining"),
    transition("retired", "retired"),
  ),
  ready: state(
    transition("draining", "draining"),
    transition("retired", "retired"),
  ),
  draining: state(transition("retired", "retired")),
  retired: state(),
};

function createGroupMachine(phase: GroupPhase) {
  return interpret(createMachine(phase, PHASES), () => {});
}

type GroupMachine = ReturnType<typeof createGroupMachine>;

/** Work that is repeated while a lease is held. */
type LeaseRound = (lease: HeldLease, signal: AbortSignal) => Promise<boolean>;

/** Keeps the scopes that are held: one task for each scope and each group. */
export class GroupController implements Service {
  #clock: Clock;
  #state: ControlState;
  #leases: Leases;
  #tasks: TaskGroup;
  #scopeKeeper: ScopeController;
  #steps: GroupSteps;
  #kept = new Set<string>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#state = kernel.find("state");
    this.#leases = kernel.find("leases");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
    const orders = new Orders(kernel);
    this.#scopeKeeper = new ScopeController(kernel, orders);
    this.#steps = new GroupSteps(kernel, orders);
  }

  start(): void {
    this.#tasks.repeat("watch_leases", ROUND_INTERVAL_MS, () => {
      for (const { scope } of this.#leases.listHeld()) {
        this.#keepScope(scope);
      }
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { kept: [...this.#kept] };
  }

  #keepScope(scope: string): void {
    this.#keep("keep_scope", scope, scope, async (lease, signal) => {
      await this.#scopeKeeper.runRound(lease, signal);
      for (const group of this.#state.control.groups.values()) {
        if (group.scope === scope) {
          this.#keepGroup(group.group, scope, group.phase);
        }
      }
      return true;
    });
    this.#keep("release_hosts", scope, scope, async (lease, signal) => {
      await this.#scopeKeeper.releaseHosts(lease, signal);
      return true;
    });
  }

  #keepGroup(id: string, scope: string, phase: GroupPhase): void {
    const machine = createGroupMachine(phase);
    this.#keep("keep_group", id, scope, async (lease, signal) => {
      const group = this.#state.control.groups.get(id);
      if (group === undefined) {
        return false;
      }
      const phase = followPhase(machine, group.phase);
      await this.#steps.byPhase[phase](group, lease, signal);
      return true;
    });
  }

  /** Repeats a round while the lease is held and the round wants to go on. */
  #keep(name: string, key: string, scope: string, round: LeaseRound): void {
    const task = `${name} ${key}`;
    if (this.#kept.has(task)) {
      return;
    }
    this.#kept.add(task);
    this.#tasks.run(name, async (signal) => {
      try {
        for (
          let lease = this.#leases.findHeld(scope);
          lease !== undefined && await round(lease, signal);
          lease = this.#leases.findHeld(scope)
        ) {
          await this.#clock.sleep(ROUND_INTERVAL_MS, signal);
        }
      } finally {
        this.#kept.delete(task);
      }
    });
  }
}

/** Moves the machine to the state that the log says, and returns its state. */
function followPhase(machine: GroupMachine, phase: GroupPhase): GroupPhase {
  if (phase !== "assigned") {
    machine.send(phase);
  }
  return GroupPhase.parse(machine.machine.current);
}
