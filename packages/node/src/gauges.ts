/**
 * Gauges of the node's state, sent at a fixed interval.
 *
 * @module
 */
import type { CallerMemory } from "@zinniahill/clients";
import { type Service, TaskGroup } from "@zinniahill/kernel";
import type { Evidence } from "./groups/evidence.ts";
import type { Leases } from "./groups/leases.ts";
import type { Metrics } from "./metrics.ts";
import type { Peers } from "./peers/peers.ts";
import type { NodeKernel } from "./services.ts";
import type { AdmissionControl } from "./serving/admission-control.ts";
import type { ControlState } from "./state/control-state.ts";

const INTERVAL_MS = 1000;

/** Reads a value that is sent as a gauge. */
type Reading = () => number;

/** Sends gauges to the collector of metrics. */
export class Gauges implements Service {
  #metrics: Metrics;
  #state: ControlState;
  #evidence: Evidence;
  #leases: Leases;
  #peers: Peers;
  #admission: AdmissionControl;
  #callerMemory: CallerMemory;
  #tasks: TaskGroup;

  constructor(kernel: NodeKernel) {
    this.#metrics = kernel.find("metrics");
    this.#state = kernel.find("state");
    this.#evidence = kernel.find("evidence");
    this.#leases = kernel.find("leases");
    this.#peers = kernel.find("peers");
    this.#admission = kernel.find("admission");
    this.#callerMemory = kernel.find("callerMemory");
    this.#tasks = new TaskGroup(kernel.find("clock"), kernel.find("logger"));
  }

  start(): void {
    this.#tasks.repeat("send_gauges", INTERVAL_MS, () => {
      for (const [name, read] of Object.entries(this.#readings)) {
        this.#metrics.gauge(name, read());
      }
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  readonly #readings: Readonly<Record<string, Reading>> = {
    "requests.in_flight": () => this.#admission.inFlight,
    "load": () => this.#admission.load,
    "groups": () => this.#state.control.groups.size,
    "groups.served": () => this.#countServed(),
    "configuration.version": () => this.#state.control.configuration.version,
    "log.reachable": () => Number(this.#state.isLogReachable),
    "leases.held": () => this.#leases.listHeld().length,
    "peers": () => this.#peers.list().length,
    "callers.bytes_held": () => this.#callerMemory.heldBytes,
  };

  #countServed(): number {
    const models = [...this.#state.rules?.models.keys() ?? []];
    return models
      .map((model) => this.#evidence.listServable(model).length)
      .reduce((sum, count) => sum + count, 0);
  }
}
