/**
 * Gauges of the node's state, which are read at each scrape.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import type { RelayKernel } from "./services.ts";

/** Adds the gauges of a relay node to its metrics. */
export class Gauges implements Service {
  #gauges: Readonly<Record<string, readonly [string, () => number]>>;

  constructor(kernel: RelayKernel) {
    const feeds = kernel.find("feeds");
    const topics = kernel.find("topics");
    const groups = kernel.find("groups");
    const mesh = kernel.find("mesh");
    const holder = kernel.find("holder");
    const publicServer = kernel.find("front");
    const capacityMonitor = kernel.find("intake");
    const placement = kernel.find("placement");
    const limits = kernel.find("upstreamLimits");
    const coldUpstreams = kernel.find("coldUpstreams");
    const evacuations = kernel.find("evacuations");
    const quarantine = kernel.find("quarantine");
    const callerMemory = kernel.find("callerMemory");
    this.#gauges = {
      configuration_age_ms: [
        "Time since the configuration was known to be the newest",
        () => feeds.ageMs("configuration"),
      ],
      instances_age_ms: [
        "Time since the list of instances was known to be complete",
        () => feeds.ageMs("instances"),
      ],
      store_era: [
        "Era of the store, which rises each time it is restored from a copy",
        () => topics.era,
      ],
      store_restores: [
        "Restores of the store that this node has met",
        () => feeds.restores,
      ],
      groups_open: [
        "Groups that are open",
        () => groups.list().filter(({ state }) => state === "open").length,
      ],
      groups_suspected: [
        "Groups that are held for broken",
        () => groups.list().filter((group) => groups.isSuspected(group)).length,
      ],
      peers: ["Nodes that were heard lately", () => mesh.list().length],
      placement_held: [
        "Whether this node gives the orders",
        () => Number(holder.isHolder),
      ],
      loads_running: [
        "Loads of weights that this node has permitted and that go on",
        () => placement.runningWeightLoads,
      ],
      capacity: [
        "Share of a core that is free for callers; lower while turns run late",
        () => capacityMonitor.capacity,
      ],
      prompt_parts_quarantined: [
        "Sets of prompt parts that are held back, as upstreams crash on them",
        () => quarantine.size,
      ],
      upstreams_limited: [
        "Upstreams that have named a limit on their requests",
        () => limits.size,
      ],
      cold_upstreams: [
        "Upstreams that get requests at the rate of a cold start",
        () => coldUpstreams.size,
      ],
      evacuated_data_centres: [
        "Data centres that operators have evacuated",
        () => evacuations.size,
      ],
      caller_bytes_held: [
        "Bytes of requests and of answers that callers have not read yet",
        () => callerMemory.heldBytes,
      ],
      incomplete_bytes_held: [
        "Bytes of requests that have not arrived completely",
        () => callerMemory.incompleteBytes,
      ],
      caller_connections: [
        "Open connections of callers",
        () => publicServer.connections,
      ],
      requests_in_flight: [
        "Requests without an answer",
        () => publicServer.inFlight,
      ],
      answers_unsent: [
        "Answers that the operating system has not taken completely",
        () => publicServer.unsent,
      ],
    };
    const metrics = kernel.find("metrics");
    for (const [name, [help, read]] of Object.entries(this.#gauges)) {
      metrics.addGauge(name, help, read);
    }
  }

  dump(): unknown {
    return Object.fromEntries(
      Object.entries(this.#gauges).map(([name, [, read]]) => [name, read()]),
    );
  }
}
