/**
 * Starts serving once the node has its initial state.
 *
 * @module
 */
import { type Clock, type Service, TaskGroup } from "@zinniahill/kernel";
import type { Feeds } from "../feeds/feeds.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import type { RelayKernel } from "../services.ts";

const CHECK_INTERVAL_MS = 50;

/** Waits for the first configuration and the first list of instances. */
export class Readiness implements Service {
  #clock: Clock;
  #lifecycle: Lifecycle;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #tasks: TaskGroup;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#lifecycle = kernel.find("lifecycle");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
  }

  start(): void {
    this.#tasks.run("await_state", async (signal) => {
      while (!this.hasInitialState) {
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
}
