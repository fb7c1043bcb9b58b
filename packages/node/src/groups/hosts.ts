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
import type { HostList } from "@zinniahill/clients";
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
  #unlistedSince = new Map<string, number>();
  #firstReadAt: number | undefined;
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

  /**
   * Since when a host has been absent from the list; undefined while it is
   * listed, or while no list was read.
   */
  findUnlistedSince(host: string): number | undefined {
    return this.#hosts.has(host)
      ? undefined
      : this.#unlistedSince.get(host) ?? this.#firstReadAt;
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
    this.#firstReadAt ??= this.#readAt;
    this.#noteUnlisted(this.#readAt);
    this.changed.notify();
  }

  #noteUnlisted(now: number): void {
    for (const host of this.#addresses.keys()) {
      if (this.#hosts.has(host)) {
        this.#unlistedSince.delete(host);
      } else if (!this.#unlistedSince.has(host)) {
        this.#unlistedSince.set(host, now);
      }
    }
  }
}
