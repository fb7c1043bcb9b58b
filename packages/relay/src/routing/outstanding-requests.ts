/**
 * Requests in progress at each upstream instance, and detection of groups that
 * stall.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { LoadEstimate } from "@zinniahill/policy";
import type { Groups } from "../hosts/groups.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { PlacementController } from "../placement/controller.ts";
import type { RelayKernel } from "../services.ts";
import { RequestDurations } from "./request-durations.ts";

/** A request in progress at one instance. */
export interface OutstandingRequest {
  /** Records that events of the response arrived. */
  recordEvent(): void;
  /** Stops to expect events, as none are read until `resume`. */
  pause(): void;
  resume(): void;
  /** Calls a listener when the instance stalls, repeatedly until an event. */
  onStall(listener: () => void): void;
  end(): void;
}

/** Identifies a group. */
export interface GroupRef {
  readonly name: string;
  readonly epoch: number;
}

/** This node's requests at one instance. */
interface InstanceRequests {
  readonly group: GroupRef | undefined;
  readonly requests: Set<RequestState>;
  /** When this node last received an event. */
  lastEventAt: number;
}

interface RequestState {
  /** Since when events are expected. */
  expectedSince: number;
  isPaused: boolean;
  /** Whether events show its progress; other responses arrive in one piece. */
  readonly isStream: boolean;
  /** Whether an event has arrived; from then on they arrive steadily. */
  hasBegun: boolean;
  isStalled: boolean;
  /** When the listener was last called in this stall. */
  notifiedAt: number;
  listener: () => void;
}

const CHECK_INTERVAL_MS = 50;
/** Another group may have room, or stall, while the first one is silent. */
const NOTIFY_INTERVAL_MS = 300;
const PRUNE_INTERVAL_MS = 10_000;
/**
 * Exceeds the interval between events of a stream that has begun, which is up
 * to 0.28 s at a busy engine with long prompts.
 */
const STALL_TIMEOUT_MS = 350;
/**
 * Longer than STALL_TIMEOUT_MS, as requests without an event may be queued
 * behind long prompts or behind requests of other nodes. With many nodes, each
 * has few requests at a group, so events that other nodes received count as
 * well. Their reports are late, so with many nodes the timeout is longer.
 */
const MIN_FIRST_EVENT_TIMEOUT_MS = 600;

/** Counts this node's requests by instance and detects groups that stall. */
export class OutstandingRequests implements Service {
  #clock: Clock;
  #logger: Logger;
  #groups: Groups;
  #mesh: Mesh;
  #placement: PlacementController;
  #tasks: TaskGroup;
  #byInstance = new Map<string, InstanceRequests>();
  /** Notified when a request begins at an instance without others. */
  #begun = new Condition();
  #durations: RequestDurations;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#groups = kernel.find("groups");
    this.#mesh = kernel.find("mesh");
    this.#placement = kernel.find("placement");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#durations = new RequestDurations(this.#clock);
  }

  start(): void {
    this.#mesh.setOutstandingSource(() =>
      [...this.#byInstance].map(([id, { requests, lastEventAt }]) => [
        id,
        requests.size,
        Number.isFinite(lastEventAt)
          ? Math.round(this.#clock.now() - lastEventAt)
          : null,
      ])
    );
    this.#tasks.repeat("find_stalls", CHECK_INTERVAL_MS, async (signal) => {
      await this.#begun.until(() => this.#byInstance.size > 0, signal);
      this.#findStalls();
    });
    this.#tasks.repeat("prune_times", PRUNE_INTERVAL_MS, () => {
      this.#durations.prune();
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Requests of this node at an instance. */
  countOwn(instance: string): number {
    return this.#byInstance.get(instance)?.requests.size ?? 0;
  }

  /** Requests at an instance, including those that peers last reported. */
  count(instance: string): number {
    return this.countOwn(instance) + this.#mesh.peerLoads.count(instance);
  }

  /**
   * Estimates the current requests at instances. Some requests that the last
   * heartbeats of peers counted have ended since. About as many others have
   * been sent meanwhile, to instances that are not known yet.
   */
  estimateLoads(instances: readonly string[]): LoadEstimate {
    const now = this.#clock.now();
    const { peerLoads } = this.#mesh;
    const meanMs = this.#durations.meanMs(instances);
    let unreported = 0;
    const loads = instances.map((id) => {
      const inProgress = peerLoads.estimateCount(id, meanMs, now);
      unreported += peerLoads.count(id) - inProgress;
      return this.countOwn(id) + inProgress;
    });
    return { loads, unreported };
  }

  /** Mean duration of this node's requests at instances. */
  meanDurationMs(instances: readonly string[]): number {
    return this.#durations.meanMs(instances);
  }

  /** Counts a request until it ends. */
  begin(
    instance: string,
    group: GroupRef | undefined,
    isStream: boolean,
  ): OutstandingRequest {
    const now = this.#clock.now();
    const target = this.#getOrCreate(instance, group);
    const state: RequestState = {
      expectedSince: now,
      isPaused: false,
      isStream,
      hasBegun: false,
      isStalled: false,
      notifiedAt: -Infinity,
      listener: () => {},
    };
    target.requests.add(state);
    return {
      recordEvent: () => {
        state.hasBegun = true;
        state.isStalled = false;
        state.notifiedAt = -Infinity;
        this.#recordEvent(target);
      },
      pause: () => {
        state.isPaused = true;
      },
      resume: () => {
        state.isPaused = false;
        state.expectedSince = this.#clock.now();
      },
      onStall: (listener) => {
        state.listener = listener;
      },
      end: () => {
        if (!target.requests.delete(state)) {
          return;
        }
        this.#durations.record(instance, this.#clock.now() - now);
        if (
          target.requests.size === 0 &&
          this.#byInstance.get(instance) === target
        ) {
          this.#byInstance.delete(instance);
        }
      },
    };
  }

  dump(): unknown {
    return [...this.#byInstance].map((
      [instance, { requests, lastEventAt }],
    ) => ({
      instance,
      requests: requests.size,
      quietMs: Number.isFinite(lastEventAt)
        ? Math.round(this.#clock.now() - lastEventAt)
        : undefined,
    }));
  }

  #getOrCreate(
    instance: string,
    group: GroupRef | undefined,
  ): InstanceRequests {
    const known = this.#byInstance.get(instance);
    if (known !== undefined && known.group?.name === group?.name) {
      return known;
    }
    const created: InstanceRequests = {
      group,
      requests: new Set(),
      lastEventAt: -Infinity,
    };
    this.#byInstance.set(instance, created);
    this.#begun.notify();
    return created;
  }

  #recordEvent(target: InstanceRequests): void {
    target.lastEventAt = this.#clock.now();
    if (target.group !== undefined && this.#groups.isSuspected(target.group)) {
      this.#groups.clearSuspicion(target.group.name, target.group.epoch);
    }
  }

  #findStalls(): void {
    const now = this.#clock.now();
    const stalled: RequestState[] = [];
    for (const [instance, target] of this.#byInstance) {
      if (target.group === undefined) {
        continue;
      }
      const streams = [...target.requests].filter(({ isStream, isPaused }) =>
        isStream && !isPaused
      );
      if (streams.length === 0) {
        continue;
      }
      const expectedSince = Math.min(
        ...streams.map(({ expectedSince }) => expectedSince),
      );
      const hasBegun = streams.some(({ hasBegun }) => hasBegun);
      const lastEventAt = hasBegun ? target.lastEventAt : Math.max(
        target.lastEventAt,
        this.#mesh.peerLoads.findLastEventAt(instance),
      );
      const quietMs = now - Math.max(lastEventAt, expectedSince);
      if (quietMs >= this.#getTimeoutMs(hasBegun, target.group)) {
        stalled.push(
          ...this.#reportStall(instance, target, target.group, quietMs),
        );
      }
    }
    // A listener may look for another group, which must not have stalled, too.
    stalled.forEach(({ listener }) => listener());
  }

  /**
   * The time without events after which a group counts as stalled. Requests
   * without an event are weaker evidence, unless another node suspects the
   * group.
   */
  #getTimeoutMs(hasBegun: boolean, group: GroupRef): number {
    return hasBegun || this.#groups.isSuspected(group)
      ? STALL_TIMEOUT_MS
      : Math.max(
        MIN_FIRST_EVENT_TIMEOUT_MS,
        STALL_TIMEOUT_MS + this.#mesh.reportDelayMs,
      );
  }

  /**
   * Reports a group as stalled if requests are new in it; returns those whose
   * listeners are due. A request whose caller reads slowly expects no events.
   */
  #reportStall(
    instance: string,
    target: InstanceRequests,
    { name, epoch }: GroupRef,
    quietMs: number,
  ): RequestState[] {
    const now = this.#clock.now();
    const waiting = [...target.requests].filter(({ isPaused }) => !isPaused);
    if (waiting.some(({ isStalled }) => !isStalled)) {
      this.#logger.warn("group_stalled", {
        group: name,
        epoch,
        lead: instance,
        requests: target.requests.size,
        begun: [...target.requests].filter(({ hasBegun }) => hasBegun).length,
        quiet_ms: Math.round(quietMs),
      });
      this.#groups.suspect(name, epoch, "own requests");
      this.#mesh.broadcast({ kind: "suspect", instance, group: name, epoch });
      this.#placement.checkGroup(name, epoch);
      waiting.forEach((request) => request.isStalled = true);
    }
    const due = waiting.filter(({ notifiedAt }) =>
      now - notifiedAt >= NOTIFY_INTERVAL_MS
    );
    due.forEach((request) => request.notifiedAt = now);
    return due;
  }
}
