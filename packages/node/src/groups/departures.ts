/**
 * Hosts that are leaving: which ones, and from when on their groups receive no
 * new work.
 *
 * Every node decides this for itself, so that new work ends within a bounded
 * time also while no lease holder can drain the group.
 *
 * @module
 */
import { type Clock, type Service, TaskGroup } from "@zinniahill/kernel";
import { type Departure, findDeparture, isDrainDue } from "@zinniahill/policy";
import type { Settings } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Hosts } from "./hosts.ts";

/**
 * A group with a leaving host receives new work for this long, so that a
 * replacement that forms quickly takes over without a gap.
 */
export const DEPARTURE_GRACE_MS = 3000;
/**
 * A departure that is learned later than this counts from when the source was
 * last known to be current. With the grace, it keeps new work below the bound
 * of 5 s after the announcement.
 */
const LEARNING_LIMIT_MS = 2000;

/** Follows the host list and operators' commands. */
export class Departures implements Service {
  #clock: Clock;
  #settings: Settings;
  #state: ControlState;
  #hosts: Hosts;
  #tasks: TaskGroup;
  /** From when the departures without a date count, by host. */
  #since = new Map<string, number>();
  /** When the host list was read before; -Infinity without a read. */
  #listReadAt = -Infinity;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#settings = kernel.find("settings");
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
  }

  start(): void {
    this.#tasks.run("follow_drained_hosts", async (signal) => {
      while (!signal.aborted) {
        this.#note();
        await this.#state.changed.wait(signal);
      }
    });
    this.#tasks.run("follow_leaving_hosts", async (signal) => {
      while (!signal.aborted) {
        this.#note();
        await this.#hosts.changed.wait(signal);
      }
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { since: Object.fromEntries(this.#since) };
  }

  /** Returns the departure of a host; undefined while it stays. */
  find(name: string): Departure | undefined {
    const host = this.#hosts.all.get(name);
    if (host === undefined) {
      return this.#isUnlistedForLong(name) ? { at: undefined } : undefined;
    }
    return findDeparture(host, {
      maintenance: this.#state.rules?.maintenance ?? new Map(),
      drainedHosts: this.#state.control.drainedHosts,
      wallTime: this.#clock.wallTime(),
    });
  }

  /** Whether a group with this host must receive no new work. */
  endsNewWork(host: string): boolean {
    const departure = this.find(host);
    if (departure === undefined) {
      return false;
    }
    if (departure.at !== undefined) {
      return isDrainDue(departure, this.#clock.wallTime());
    }
    const since = this.#since.get(host);
    return since !== undefined &&
      this.#clock.now() - since >= DEPARTURE_GRACE_MS;
  }

  /** One incomplete answer of the host list must not drain groups. */
  #isUnlistedForLong(host: string): boolean {
    const since = this.#hosts.findUnlistedSince(host);
    const absenceMs = this.#settings.timing["host-absence"];
    return since !== undefined && this.#clock.now() - since >= absenceMs;
  }

  #note(): void {
    for (const host of this.#hosts.all.keys()) {
      const departure = this.find(host);
      if (departure === undefined || departure.at !== undefined) {
        this.#since.delete(host);
      } else if (!this.#since.has(host)) {
        this.#since.set(host, this.#findStart(host));
      }
    }
    this.#listReadAt = this.#hosts.readAt ?? -Infinity;
  }

  /** Returns from when on a departure counts that is seen for the first time. */
  #findStart(host: string): number {
    const isDrained = this.#state.control.drainedHosts.has(host);
    const currentAt = isDrained
      ? this.#state.catchUpTimes.secondLast
      : this.#listReadAt;
    const now = this.#clock.now();
    return now - currentAt <= LEARNING_LIMIT_MS ? now : currentAt;
  }
}
