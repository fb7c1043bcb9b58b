/**
 * The leases that this node claims and holds.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { Settings } from "@zinniahill/schema";
import {
  createMachine,
  interpret,
  type Service as Interpreter,
  state,
  transition,
} from "robot3";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Hosts } from "./hosts.ts";

/** A lease that this node holds now. */
export interface HeldLease {
  readonly scope: string;
  readonly fence: number;
  /** Time of the node's clock after which nothing may be done with it. */
  readonly deadline: number;
}

const SCOPE_PREFIX = "placement/";
const WATCH_INTERVAL_MS = 500;

const leaseMachine = createMachine({
  waiting: state(transition("claim", "claiming")),
  claiming: state(
    transition("accept", "held"),
    transition("refuse", "waiting"),
  ),
  held: state(transition("lose", "waiting")),
});

type LeaseMachine = Interpreter<typeof leaseMachine>;

/** Returns the scope of a data centre's groups. */
export function createScope(dataCentre: string): string {
  return `${SCOPE_PREFIX}${dataCentre}`;
}

/** Claims and renews leases; one task for each scope. */
export class Leases implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #state: ControlState;
  #hosts: Hosts;
  #settings: Settings;
  #tasks: TaskGroup;
  #scopes = new Set<string>();
  #held = new Map<string, HeldLease>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tasks.repeat("watch_scopes", WATCH_INTERVAL_MS, () => {
      for (const { dataCentre } of this.#hosts.all.values()) {
        this.#keepScope(dataCentre);
      }
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { held: [...this.#held.values()] };
  }

  /** Returns the lease if this node holds it at this moment. */
  findHeld(scope: string): HeldLease | undefined {
    const lease = this.#held.get(scope);
    const agreed = this.#state.control.leases.get(scope);
    const isValid = lease !== undefined && agreed?.fence === lease.fence &&
      this.#clock.now() < lease.deadline;
    return isValid ? lease : undefined;
  }

  /** Scopes whose lease this node holds at this moment. */
  listHeld(): HeldLease[] {
    return [...this.#scopes]
      .map((scope) => this.findHeld(scope))
      .filter((lease) => lease !== undefined);
  }

  #keepScope(dataCentre: string): void {
    const scope = createScope(dataCentre);
    if (this.#scopes.has(scope)) {
      return;
    }
    this.#scopes.add(scope);
    const isNear = dataCentre === this.#settings.node["data-centre"];
    const pauseMs = this.#settings.timing["lease-renewal"];
    this.#tasks.repeat("keep_lease", pauseMs / 2, async (signal) => {
      await this.#holdLease(scope, isNear, signal);
    });
  }

  /** Waits for the lease to lapse, claims it, and renews it until it is lost. */
  async #holdLease(
    scope: string,
    isNear: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const machine = interpret(leaseMachine, () => {});
    await this.#waitForLapse(scope, isNear, signal);
    machine.send("claim");
    await this.#writeLease(scope, 0, machine, signal);
    const renewalMs = this.#settings.timing["lease-renewal"];
    while (machine.machine.current === "held") {
      await this.#clock.sleep(renewalMs, signal);
      const lease = this.findHeld(scope);
      if (lease === undefined) {
        machine.send("lose");
        this.#logger.warn("lease_lost", { scope });
        return;
      }
      await this.#writeLease(scope, lease.fence, machine, signal);
    }
  }

  async #waitForLapse(
    scope: string,
    isNear: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { "lease-term": termMs, "lease-renewal": renewalMs } =
      this.#settings.timing;
    const handicapMs = isNear ? 0 : renewalMs;
    const jitterMs = this.#random.fraction() * renewalMs / 2;
    await this.#clock.sleep(handicapMs + jitterMs, signal);
    for (;;) {
      const readAt = this.#state.findLeaseReadTime(scope);
      const remainingMs = readAt === undefined
        ? 0
        : readAt + termMs + handicapMs + jitterMs - this.#clock.now();
      if (remainingMs <= 0) {
        return;
      }
      await this.#clock.sleep(remainingMs, signal);
    }
  }

  async #writeLease(
    scope: string,
    fence: number,
    machine: LeaseMachine,
    signal: AbortSignal,
  ): Promise<void> {
    const sentAt = this.#clock.now();
    const id = this.#random.id();
    const basis = this.#state.control.leases.get(scope)?.last ?? 0;
    const decision = await this.#state.propose({
      kind: "lease",
      id,
      node: this.#settings.node.name,
      scope,
      fence,
      basis,
    }, signal);
    const agreed = this.#state.control.leases.get(scope);
    const isAccepted = decision.isOk && decision.value.accepted &&
      agreed?.lastId === id;
    if (!isAccepted) {
      machine.send("refuse");
      return;
    }
    if (fence === 0) {
      this.#logger.info("lease_claimed", { scope, fence: agreed.fence });
    }
    machine.send("accept");
    this.#held.set(scope, {
      scope,
      fence: agreed.fence,
      deadline: sentAt + this.#settings.timing["lease-term"],
    });
  }
}
