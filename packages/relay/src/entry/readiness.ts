/**
 * Starts serving once the node has its initial state.
 *
 * @module
 */
import { type Clock, type Service, TaskGroup } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RelayKernel } from "../services.ts";

const CHECK_INTERVAL_MS = 50;
/**
 * How long a node that starts waits for the heartbeats of all nodes. Connections
 * to running nodes are open and in use within 0.3 s.
 */
const MAX_HEARTBEAT_WAIT_MS = 1000;

/**
 * Waits for the first configuration and the first list of instances. Peers may
 * know a newer configuration than a store that was restored from a copy.
 */
export class Readiness implements Service {
  #clock: Clock;
  #lifecycle: Lifecycle;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #mesh: Mesh;
  #tasks: TaskGroup;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#lifecycle = kernel.find("lifecycle");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#mesh = kernel.find("mesh");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
  }

  start(): void {
    this.#tasks.run("await_state", async (signal) => {
      const startedAt = this.#clock.now();
      while (!this.hasInitialState) {
        const waitedMs = this.#clock.now() - startedAt;
        if (waitedMs >= MAX_HEARTBEAT_WAIT_MS || this.#isNewestVersionKnown()) {
          this.#configuration.admitFirst();
        }
        await this.#clock.sleep(CHECK_INTERVAL_MS, signal);
      }
      this.#lifecycle.serve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Whether the node has a configuration and a list of instances. */
  get hasInitialState(): boolean {
    return this.#configuration.current !== undefined &&
      this.#feeds.table("instances").next > 0;
  }

  /** Whether all nodes have been heard and none knows a newer configuration. */
  #isNewestVersionKnown(): boolean {
    const { newestVersion } = this.#configuration;
    return newestVersion !== undefined && this.#feeds.isReachable("nodes") &&
      this.#mesh.hasHeardAll && newestVersion >= this.#mesh.reportedVersion;
  }
}
