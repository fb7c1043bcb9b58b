/**
 * The platform's host list as this node has read it.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { HostList } from "@zinniahill/platform";
import type { Host } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";

/** Keeps the last host list that was read; it may be out of date. */
export class Hosts implements Service {
  /** Notified whenever the list was read. */
  readonly changed = new Condition();
  #clock: Clock;
  #hostList: HostList;
  #intervalMs: number;
  #tasks: TaskGroup;
  #hosts = new Map<string, Host>();
  #addresses = new Map<string, string>();
  #readAt: number | undefined;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#hostList = kernel.find("hostList");
    this.#intervalMs = kernel.find("settings").platform["host-list-interval"];
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
  }

  /** Hosts by name. */
  get all(): ReadonlyMap<string, Host> {
    return this.#hosts;
  }

  /** When the list was last read; undefined before the first time. */
  get readAt(): number | undefined {
    return this.#readAt;
  }

  /**
   * Returns the last known address of a host. A host that is no longer in the
   * list may still run, and then has to be probed and unloaded.
   */
  findAddress(host: string): string | undefined {
    return this.#addresses.get(host);
  }

  start(): void {
    this.#tasks.repeat("read_hosts", this.#intervalMs, async (signal) => {
      const hosts = await this.#hostList.list(signal);
      if (hosts.isOk) {
        this.#adopt(hosts.value);
      }
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { readAt: this.#readAt, hosts: [...this.#hosts.values()] };
  }

  #adopt(hosts: readonly Host[]): void {
    this.#hosts = new Map(hosts.map((host) => [host.host, host]));
    for (const { host, address } of hosts) {
      this.#addresses.set(host, address);
    }
    this.#readAt = this.#clock.now();
    this.changed.notify();
  }
}
