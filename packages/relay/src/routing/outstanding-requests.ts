/**
 * Requests in progress at each upstream instance, and whether they move.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { Groups } from "../hosts/groups.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { PlacementController } from "../placement/controller.ts";
import type { RelayKernel } from "../services.ts";
import { RequestDurations } from "./request-durations.ts";

/** A request that one instance works on. */
export interface OutstandingRequest {
  /** Events of the response came from the instance. */
  recordEvent(): void;
  /** Called once when nothing moves at the instance any more. */
  onStall(listener: () => void): void;
  end(): void;
}

/** The group that an instance leads. */
export interface GroupRef {
  readonly name: string;
  readonly epoch: number;
}

/** Requests at instances, as far as they can be known. */
export interface LoadEstimate {
  /** Requests at each instance, without those that are unreported. */
  readonly loads: readonly number[];
  /** Requests of other nodes that are at one of the instances by now. */
  readonly unreported: number;
}

interface Work {
  readonly group: GroupRef | undefined;
  readonly tickets: Set<TicketState>;
  /** When an event last came to this node. */
  eventAt: number;
}

interface TicketState {
  readonly startedAt: number;
  /** Whether events show its progress; a whole body comes at its end. */
  readonly isStream: boolean;
  /** Whether events have come; from then on they come steadily. */
  hasBegun: boolean;
  isStalled: boolean;
  listener: () => void;
}

const CHECK_INTERVAL_MS = 50;
const PRUNE_INTERVAL_MS = 10_000;
/**
 * Streams that have begun are not quiet for this long: an event of a busy engine
 * with long prompts takes up to 0.28 s.
 */
const STALL_MS = 350;
/**
 * Requests without an event may be waiting behind long prompts, or behind
 * requests of other nodes. Of many nodes, each has few requests at a group, so
 * events that came to the others count as well.
 */
const UNBEGUN_STALL_MS = 600;

/** Counts this node's requests by instance and notices groups that stall. */
export class OutstandingRequests implements Service {
  #clock: Clock;
  #logger: Logger;
  #groups: Groups;
  #mesh: Mesh;
  #placement: PlacementController;
  #tasks: TaskGroup;
  #work = new Map<string, Work>();
  #times: RequestDurations;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#groups = kernel.find("groups");
    this.#mesh = kernel.find("mesh");
    this.#placement = kernel.find("placement");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#times = new RequestDurations(this.#clock);
  }

  start(): void {
    this.#mesh.setOutstandingSource(() =>
      [...this.#work].map(([id, { tickets, eventAt }]) => [
        id,
        tickets.size,
        Number.isFinite(eventAt)
          ? Math.round(this.#clock.now() - eventAt)
          : null,
      ])
    );
    this.#tasks.repeat("find_stalls", CHECK_INTERVAL_MS, () => {
      this.#findStalls();
      return Promise.resolve();
    });
    this.#tasks.repeat("prune_times", PRUNE_INTERVAL_MS, () => {
      this.#times.prune();
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Requests at an instance, those of other nodes included. */
  count(instance: string): number {
    const own = this.#work.get(instance)?.tickets.size ?? 0;
    return own + this.#mesh.peerLoads.count(instance);
  }

  /**
   * What the instances probably have by now. Some requests that the last beats
   * of peers name have ended since. About as many others were sent meanwhile,
   * and it is not known where to.
   */
  estimateLoads(instances: readonly string[]): LoadEstimate {
    const now = this.#clock.now();
    const { peerLoads } = this.#mesh;
    const meanMs = this.#times.meanMs(instances);
    let unreported = 0;
    const loads = instances.map((id) => {
      const own = this.#work.get(id)?.tickets.size ?? 0;
      const surviving = peerLoads.estimateCount(id, meanMs, now);
      unreported += peerLoads.count(id) - surviving;
      return own + surviving;
    });
    return { loads, unreported };
  }

  /** Counts a request until its ticket ends. */
  begin(
    instance: string,
    group: GroupRef | undefined,
    isStream: boolean,
  ): OutstandingRequest {
    const now = this.#clock.now();
    const work = this.#findWork(instance, group);
    const state: TicketState = {
      startedAt: now,
      isStream,
      hasBegun: false,
      isStalled: false,
      listener: () => {},
    };
    work.tickets.add(state);
    return {
      recordEvent: () => {
        state.hasBegun = true;
        this.#noteProgress(work);
      },
      onStall: (listener) => {
        state.listener = listener;
      },
      end: () => {
        if (!work.tickets.delete(state)) {
          return;
        }
        this.#times.note(instance, this.#clock.now() - now);
        if (work.tickets.size === 0 && this.#work.get(instance) === work) {
          this.#work.delete(instance);
        }
      },
    };
  }

  dump(): unknown {
    return [...this.#work].map(([instance, { tickets, eventAt }]) => ({
      instance,
      requests: tickets.size,
      quietMs: Number.isFinite(eventAt)
        ? Math.round(this.#clock.now() - eventAt)
        : undefined,
    }));
  }

  #findWork(instance: string, group: GroupRef | undefined): Work {
    const known = this.#work.get(instance);
    if (known !== undefined && known.group?.name === group?.name) {
      return known;
    }
    const work: Work = { group, tickets: new Set(), eventAt: -Infinity };
    this.#work.set(instance, work);
    return work;
  }

  #noteProgress(work: Work): void {
    work.eventAt = this.#clock.now();
    if (work.group !== undefined && this.#groups.isSuspected(work.group)) {
      this.#groups.clearSuspicion(work.group.name, work.group.epoch);
    }
  }

  #findStalls(): void {
    const now = this.#clock.now();
    for (const [instance, work] of this.#work) {
      if (work.group === undefined) {
        continue;
      }
      const streams = [...work.tickets].filter(({ isStream }) => isStream);
      const [oldest] = streams;
      if (oldest === undefined) {
        continue;
      }
      const hasBegun = streams.some(({ hasBegun }) => hasBegun);
      const eventAt = hasBegun ? work.eventAt : Math.max(
        work.eventAt,
        this.#mesh.peerLoads.findLastEventAt(instance),
      );
      const quietMs = now - Math.max(eventAt, oldest.startedAt);
      if (quietMs >= this.#chooseLimitMs(hasBegun, work.group)) {
        this.#reportStall(instance, work, work.group, quietMs);
      }
    }
  }

  /** Evidence of another node makes this node's own, weaker one count. */
  #chooseLimitMs(hasBegun: boolean, group: GroupRef): number {
    return hasBegun || this.#groups.isSuspected(group)
      ? STALL_MS
      : UNBEGUN_STALL_MS;
  }

  #reportStall(
    instance: string,
    work: Work,
    { name, epoch }: GroupRef,
    quietMs: number,
  ): void {
    const fresh = [...work.tickets].filter(({ isStalled }) => !isStalled);
    if (fresh.length === 0) {
      return;
    }
    this.#logger.warn("group_stalled", {
      group: name,
      epoch,
      lead: instance,
      requests: work.tickets.size,
      begun: [...work.tickets].filter(({ hasBegun }) => hasBegun).length,
      quiet_ms: Math.round(quietMs),
    });
    this.#groups.suspect(name, epoch, "own requests");
    this.#mesh.broadcast({ kind: "suspect", instance, group: name, epoch });
    this.#placement.checkGroup(name, epoch);
    for (const ticket of fresh) {
      ticket.isStalled = true;
      ticket.listener();
    }
  }
}
