/**
 * The platform's host list as this node has read it.
 *
 * @module
 */
import { type Clock, type Service, TaskGroup } from "@zinniahill/kernel";
import type { HostList } from "@zinniahill/platform";
import type { Host } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";

/** Keeps the last host list that was read; it may be out of date. */
export class Hosts implements Service {
  #clock: Clock;
  #hostList: HostList;
  #intervalMs: number;
  #tasks: TaskGroup;
  #hosts = new Map<string, Host>();
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

  start(): void {
    this.#tasks.repeat("read_hosts", this.#intervalMs, async (signal) => {
      const hosts = await this.#hostList.list(signal);
      if (hosts.isOk) {
        this.#hosts = new Map(hosts.value.map((host) => [host.host, host]));
        this.#readAt = this.#clock.now();
      }
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { readAt: this.#readAt, hosts: [...this.#hosts.values()] };
  }
}
