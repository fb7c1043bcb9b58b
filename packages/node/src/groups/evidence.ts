/**
 * Evidence of hosts: which group may be served.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { Engines } from "@zinniahill/platform";
import type { EngineStatus, GroupState, Settings } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Hosts } from "./hosts.ts";

/** What is known of one host. */
export interface HostEvidence {
  /** The last status that the host gave, and when. */
  status?: EngineStatus;
  seenAt?: number;
  /** When the host was last known to be missing. */
  missingAt?: number;
  /** Since when the host has been missing without a break. */
  missingSince?: number;
}

/** Probes the hosts of all groups; one task for each group. */
export class Evidence implements Service {
  /** Notified whenever a host appears or goes missing. */
  readonly changed = new Condition();
  #clock: Clock;
  #engines: Engines;
  #state: ControlState;
  #hosts: Hosts;
  #settings: Settings;
  #tasks: TaskGroup;
  #evidence = new Map<string, HostEvidence>();
  #probed = new Set<string>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#engines = kernel.find("engines");
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
  }

  start(): void {
    this.#tasks.run("watch_groups", async (signal) => {
      while (!signal.aborted) {
        this.#startProbes();
        await this.#state.changed.wait(signal);
      }
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { hosts: Object.fromEntries(this.#evidence) };
  }

  /** Returns what is known of a host. */
  find(host: string): HostEvidence {
    return this.#evidence.get(host) ?? {};
  }

  /** Notes a status that a host gave. */
  notePresent(host: string, status: EngineStatus): void {
    this.#evidence.set(host, { status, seenAt: this.#clock.now() });
    this.changed.notify();
  }

  /** Notes that a host did not answer, or that somebody else says so. */
  noteMissing(host: string): void {
    const now = this.#clock.now();
    const known = this.find(host);
    this.#evidence.set(host, {
      ...known,
      missingAt: now,
      missingSince: known.missingSince ?? now,
    });
    this.changed.notify();
  }

  /** Why a group is not served; undefined when it is. */
  findObstacle(group: GroupState): string | undefined {
    if (group.phase !== "ready") {
      return `the group is ${group.phase}`;
    }
    const obstacles = group.hosts.map((host) =>
      this.#findHostObstacle(host, group)
    );
    return obstacles.find((obstacle) => obstacle !== undefined);
  }

  /** Groups of a model that may be served now. */
  listServable(model: string): GroupState[] {
    return [...this.#state.control.groups.values()].filter((group) =>
      group.model === model && this.findObstacle(group) === undefined
    );
  }

  #findHostObstacle(host: string, group: GroupState): string | undefined {
    const { status, seenAt, missingSince } = this.find(host);
    if (missingSince !== undefined) {
      return `host ${host} is missing`;
    }
    const validMs = this.#settings.timing["evidence-validity"];
    if (seenAt === undefined || this.#clock.now() - seenAt > validMs) {
      return `host ${host} was not seen lately`;
    }
    const hasRole = status?.group === group.group && status.role === "serving";
    return hasRole ? undefined : `host ${host} does not serve this group`;
  }

  #startProbes(): void {
    for (const id of this.#state.control.groups.keys()) {
      if (!this.#probed.has(id)) {
        this.#probed.add(id);
        this.#tasks.run("probe_group", (signal) => this.#probe(id, signal));
      }
    }
  }

  async #probe(id: string, signal: AbortSignal): Promise<void> {
    const intervalMs = this.#settings.timing["probe-interval"];
    try {
      for (
        let group = this.#state.control.groups.get(id);
        group !== undefined;
        group = this.#state.control.groups.get(id)
      ) {
        await Promise.all(
          group.hosts.map((host) => this.#probeHost(host, signal)),
        );
        await this.#clock.sleep(intervalMs, signal);
      }
    } finally {
      this.#probed.delete(id);
    }
  }

  async #probeHost(host: string, signal: AbortSignal): Promise<void> {
    const address = this.#hosts.all.get(host)?.address;
    if (address === undefined) {
      this.noteMissing(host);
      return;
    }
    const timeoutMs = this.#settings.timing["probe-interval"];
    const status = await this.#engines.probe(address, timeoutMs, signal);
    status.match({
      Ok: (value) => this.notePresent(host, value),
      Err: () => this.noteMissing(host),
    });
  }
}
