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
import { findEra } from "@zinniahill/policy";
import type { Settings } from "@zinniahill/schema";
import {
  createMachine,
  interpret,
  type Service as Interpreter,
  state,
  transition,
} from "robot3";
import type { Lifecycle } from "../lifecycle.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Hosts } from "./hosts.ts";

/** A lease that this node holds now. */
export interface HeldLease {
  readonly scope: string;
  readonly fence: number;
  /** Time of the node's clock after which nothing may be done with it. */
  readonly deadline: number;
  /**
   * Time from which engines that ignore the fencing number may be given
   * orders: by then no order of an earlier holder is under way.
   */
  readonly unfencedFrom: number;
}

/** A lease record that this node has sent; the log tells what became of it. */
interface SentRecord {
  readonly sentAt: number;
  readonly basis: number;
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
  #lifecycle: Lifecycle;
  #state: ControlState;
  #hosts: Hosts;
  #settings: Settings;
  #tasks: TaskGroup;
  #scopes = new Map<string, LeaseMachine>();
  #sent = new Map<string, SentRecord>();
  #unfencedFrom = new Map<string, { fence: number; at: number }>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#lifecycle = kernel.find("lifecycle");
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
    const phases = [...this.#scopes].map(([scope, { machine }]) => [
      scope,
      machine.current,
    ]);
    return { held: this.listHeld(), phases: Object.fromEntries(phases) };
  }

  /**
   * Returns the lease if this node holds it at this moment. This is derived
   * from the log alone, so a record whose reply was lost counts as soon as it
   * is read.
   */
  findHeld(scope: string): HeldLease | undefined {
    const agreed = this.#state.control.leases.get(scope);
    const sent = this.#sent.get(agreed?.lastId ?? "");
    if (agreed === undefined || sent === undefined) {
      return undefined;
    }
    const { fence } = agreed;
    if (findEra(fence) < this.#state.logEra) {
      // The restored log may have lost a later claim, with a higher number.
      return undefined;
    }
    const deadline = sent.sentAt + this.#settings.timing["lease-term"];
    const unfencedFrom = this.#findUnfencedTime(scope, fence, sent.basis);
    return this.#clock.now() < deadline
      ? { scope, fence, deadline, unfencedFrom }
      : undefined;
  }

  /** Whether a lease that was held is still held under the same number. */
  isCurrent({ scope, fence }: HeldLease): boolean {
    return this.findHeld(scope)?.fence === fence;
  }

  /** Scopes whose lease this node holds at this moment. */
  listHeld(): HeldLease[] {
    return [...this.#scopes.keys()]
      .map((scope) => this.findHeld(scope))
      .filter((lease) => lease !== undefined);
  }

  /** The wait is measured from when this node first saw its claim accepted. */
  #findUnfencedTime(scope: string, fence: number, basis: number): number {
    const known = this.#unfencedFrom.get(scope);
    if (known?.fence === fence) {
      return known.at;
    }
    const { "lease-term": termMs, "longest-order": orderMs } =
      this.#settings.timing;
    // A restored log may have lost the claim of an earlier holder.
    const isFirstHolder = basis === 0 && findEra(fence) === 0;
    const waitMs = isFirstHolder ? 0 : termMs + orderMs;
    const at = this.#clock.now() + waitMs;
    this.#unfencedFrom.set(scope, { fence, at });
    return at;
  }

  #keepScope(dataCentre: string): void {
    const scope = createScope(dataCentre);
    if (this.#scopes.has(scope)) {
      return;
    }
    const machine = interpret(leaseMachine, () => {});
    this.#scopes.set(scope, machine);
    const isNear = dataCentre === this.#settings.node["data-centre"];
    const pauseMs = this.#settings.timing["lease-renewal"] / 2;
    this.#tasks.repeat("keep_lease", pauseMs, async (signal) => {
      await this.#holdLease(scope, isNear, machine, signal);
    });
  }

  /** Waits for the lease to lapse, claims it, and renews it until it is lost. */
  async #holdLease(
    scope: string,
    isNear: boolean,
    machine: LeaseMachine,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#waitForLapse(scope, isNear, signal);
    if (this.#lifecycle.isStopping) {
      return;
    }
    machine.send("claim");
    await this.#writeLease(scope, 0, signal);
    const claimed = this.findHeld(scope);
    machine.send(claimed === undefined ? "refuse" : "accept");
    if (claimed === undefined) {
      return;
    }
    this.#logger.info("lease_claimed", { scope, fence: claimed.fence });
    await this.#renew(claimed, signal);
    machine.send("lose");
    this.#logger.warn("lease_lost", { scope, fence: claimed.fence });
  }

  /** Renews a lease for as long as it is held; a stopping node lets it lapse. */
  async #renew(lease: HeldLease, signal: AbortSignal): Promise<void> {
    const renewalMs = this.#settings.timing["lease-renewal"];
    for (;;) {
      await this.#clock.sleep(renewalMs, signal);
      if (!this.isCurrent(lease)) {
        return;
      }
      if (!this.#lifecycle.isStopping) {
        await this.#writeLease(lease.scope, lease.fence, signal);
      }
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

  /** Sends a claim (`fence` 0) or a renewal, and waits until it is read. */
  async #writeLease(
    scope: string,
    fence: number,
    signal: AbortSignal,
  ): Promise<void> {
    const id = this.#random.id();
    const basis = this.#state.control.leases.get(scope)?.last ?? 0;
    this.#forgetLapsed();
    this.#sent.set(id, { sentAt: this.#clock.now(), basis });
    const record = {
      kind: "lease" as const,
      id,
      node: this.#settings.node.name,
      scope,
      fence,
      basis,
    };
    await this.#state.propose(record, signal);
  }

  #forgetLapsed(): void {
    const termMs = this.#settings.timing["lease-term"];
    for (const [id, { sentAt }] of this.#sent) {
      if (this.#clock.now() - sentAt > termMs) {
        this.#sent.delete(id);
      }
    }
  }
}
