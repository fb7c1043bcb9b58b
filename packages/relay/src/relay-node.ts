/**
 * Assembles a relay node from its services.
 *
 * @module
 */
import {
  AppliedLimits,
  CallerMemory,
  ChunkTurns,
  WebSocketTransport,
} from "@zinniahill/clients";
import {
  Kernel,
  type Logger,
  SystemClock,
  SystemRandom,
} from "@zinniahill/kernel";
import { computeConnectionLimits } from "@zinniahill/policy";
import { CapacityMonitor } from "./entry/capacity-monitor.ts";
import { Lookup } from "./entry/lookup.ts";
import { Readiness } from "./entry/readiness.ts";
import { Feeds } from "./feeds/feeds.ts";
import { Gauges } from "./gauges.ts";
import { Groups } from "./hosts/groups.ts";
import { Instances } from "./hosts/instances.ts";
import { Lifecycle } from "./lifecycle.ts";
import { InstanceUpdates } from "./peers/instance-updates.ts";
import { Mesh } from "./peers/mesh.ts";
import { PlacementController } from "./placement/controller.ts";
import { Demand } from "./placement/demand.ts";
import { HolderElector } from "./placement/holder-elector.ts";
import { LeadRelease } from "./placement/lead-release.ts";
import { RelayMetrics } from "./relay-metrics.ts";
import type { RelaySettings } from "./relay-settings.ts";
import { ColdUpstreams } from "./routing/cold-upstreams.ts";
import { CurrentConfiguration } from "./routing/current-configuration.ts";
import { DataCentres } from "./routing/data-centres.ts";
import { HomeUpstreams } from "./routing/home-upstreams.ts";
import { Dispatcher } from "./routing/dispatcher.ts";
import { Evacuations } from "./routing/evacuations.ts";
import { UpstreamBalancer } from "./routing/upstream-balancer.ts";
import { UpstreamLimits } from "./routing/upstream-limits.ts";
import { ProcessExaminer } from "./routing/process-examiner.ts";
import { Quarantine } from "./routing/quarantine.ts";
import { OutstandingRequests } from "./routing/outstanding-requests.ts";
import type {
  AdapterServices,
  RelayKernel,
  RelayServices,
} from "./services.ts";
import { RequestHandlers } from "./serving/request-handlers.ts";
import { Attempts } from "./serving/attempts.ts";
import { PublicServer } from "./serving/public-server.ts";

type ServiceNames = readonly (keyof RelayServices)[];

const CORE_SERVICES: ServiceNames = ["clock", "random", "logger", "settings"];

/** Factories of the services that an adapter provides. */
export type AdapterFactories = {
  [Name in keyof AdapterServices]: (
    kernel: RelayKernel,
  ) => AdapterServices[Name];
};

/** Creates a relay node that is not started yet. */
export function createRelayNode(
  settings: RelaySettings,
  logger: Logger,
  adapter: AdapterFactories,
): RelayKernel {
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => new SystemClock())
    .provide("random", [], () => new SystemRandom())
    .provide("logger", [], () => logger)
    .provide("settings", [], () => settings)
    .provide("metrics", [], () => new RelayMetrics())
    .provide("lifecycle", [], () => new Lifecycle())
    .provide(
      "appliedLimits",
      ["clock", "logger", "metrics"],
      (services) => new AppliedLimits(services),
    )
    .provide("peerTransport", ["appliedLimits"], createPeerTransport);
  kernel
    .provide("topics", CORE_SERVICES, adapter.topics)
    .provide("seat", CORE_SERVICES, adapter.seat)
    .provide("engines", CORE_SERVICES, adapter.engines)
    .provide("decoder", CORE_SERVICES, adapter.decoder)
    .provide("format", CORE_SERVICES, adapter.format);
  provideState(kernel);
  kernel.provide(
    "gauges",
    [
      ...CORE_SERVICES,
      "metrics",
      "feeds",
      "groups",
      "mesh",
      "holder",
      "placement",
      "quarantine",
      "upstreamLimits",
      "coldUpstreams",
      "evacuations",
      "callerMemory",
      "front",
      "intake",
    ],
    (services) => new Gauges(services),
  );
  provideServing(kernel);
  return kernel;
}

function createPeerTransport(kernel: RelayKernel): WebSocketTransport {
  const { node, limits } = kernel.find("settings");
  const appliedLimits = kernel.find("appliedLimits");
  return new WebSocketTransport(node.peerToken, undefined, {
    maxUnknown: computeConnectionLimits(limits).unknownPeers,
    onClose: (address, open) =>
      appliedLimits.record("peer-connections", { address, open }),
  });
}

/** Provides the state that the node shares with its peers, and placement. */
function provideState(kernel: RelayKernel): void {
  kernel
    .provide(
      "feeds",
      [...CORE_SERVICES, "topics", "decoder"],
      (services) => new Feeds(services),
    )
    .provide(
      "configuration",
      [...CORE_SERVICES, "feeds", "decoder"],
      (services) => new CurrentConfiguration(services),
    )
    .provide(
      "instances",
      [...CORE_SERVICES, "feeds", "configuration", "decoder"],
      (services) => new Instances(services),
    )
    .provide(
      "evacuations",
      [...CORE_SERVICES, "feeds", "decoder", "instances"],
      (services) => new Evacuations(services),
    )
    .provide(
      "groups",
      [...CORE_SERVICES, "instances"],
      (services) => new Groups(services),
    )
    .provide(
      "intake",
      CORE_SERVICES,
      (services) => new CapacityMonitor(services),
    )
    .provide(
      "mesh",
      [
        ...CORE_SERVICES,
        "peerTransport",
        "topics",
        "decoder",
        "feeds",
        "configuration",
        "lifecycle",
        "intake",
      ],
      (services) => new Mesh(services),
    )
    .provide(
      "holder",
      [...CORE_SERVICES, "seat", "lifecycle", "mesh", "intake", "feeds"],
      (services) => new HolderElector(services),
    )
    .provide(
      "instanceNews",
      [...CORE_SERVICES, "feeds", "instances", "mesh", "holder"],
      (services) => new InstanceUpdates(services),
    )
    .provide(
      "demand",
      [...CORE_SERVICES, "mesh"],
      (services) => new Demand(services),
    )
    .provide(
      "leadRelease",
      [...CORE_SERVICES, "engines", "mesh"],
      (services) => new LeadRelease(services),
    )
    .provide(
      "processExaminer",
      [...CORE_SERVICES, "engines"],
      (services) => new ProcessExaminer(services),
    )
    .provide(
      "placement",
      [
        ...CORE_SERVICES,
        "configuration",
        "instances",
        "groups",
        "mesh",
        "holder",
        "demand",
        "engines",
        "leadRelease",
        "processExaminer",
        "feeds",
        "evacuations",
        "metrics",
      ],
      (services) => new PlacementController(services),
    );
}

/** Provides the services on the path of a request. */
function provideServing(kernel: RelayKernel): void {
  kernel
    .provide(
      "outstanding",
      [...CORE_SERVICES, "groups", "mesh", "placement"],
      (services) => new OutstandingRequests(services),
    )
    .provide(
      "coldUpstreams",
      [
        ...CORE_SERVICES,
        "decoder",
        "feeds",
        "configuration",
        "instances",
        "mesh",
        "demand",
        "evacuations",
      ],
      (services) => new ColdUpstreams(services),
    )
    .provide(
      "upstreamLimits",
      [...CORE_SERVICES, "mesh", "lifecycle", "coldUpstreams"],
      (services) => new UpstreamLimits(services),
    )
    .provide(
      "dataCentres",
      [...CORE_SERVICES, "mesh", "configuration"],
      (services) => new DataCentres(services),
    )
    .provide(
      "homes",
      [...CORE_SERVICES, "mesh", "intake"],
      (services) => new HomeUpstreams(services),
    )
    .provide(
      "balancer",
      [...CORE_SERVICES, "homes", "dataCentres", "outstanding", "metrics"],
      (services) => new UpstreamBalancer(services),
    )
    .provide(
      "dispatcher",
      [
        ...CORE_SERVICES,
        "balancer",
        "instances",
        "groups",
        "outstanding",
        "upstreamLimits",
        "evacuations",
      ],
      (services) => new Dispatcher(services),
    )
    .provide(
      "quarantine",
      [...CORE_SERVICES, "mesh", "processExaminer"],
      (services) => new Quarantine(services),
    )
    .provide(
      "callerMemory",
      [...CORE_SERVICES, "appliedLimits"],
      (services) =>
        new CallerMemory(
          services,
          services.find("settings").limits.memoryBytes,
        ),
    )
    .provide(
      "chunkTurns",
      [...CORE_SERVICES, "callerMemory", "appliedLimits"],
      (services) => new ChunkTurns(services),
    )
    .provide(
      "attempts",
      [
        ...CORE_SERVICES,
        "format",
        "instances",
        "dispatcher",
        "processExaminer",
        "quarantine",
        "upstreamLimits",
        "coldUpstreams",
        "outstanding",
        "mesh",
        "lifecycle",
      ],
      (services) => new Attempts(services),
    )
    .provide(
      "answers",
      [...CORE_SERVICES, "attempts", "processExaminer", "quarantine"],
      (services) => new RequestHandlers(services),
    )
    .provide(
      "lookup",
      [...CORE_SERVICES, "mesh", "lifecycle", "intake", "dataCentres"],
      (services) => new Lookup(services),
    )
    .provide(
      "readiness",
      [...CORE_SERVICES, "lifecycle", "configuration", "feeds", "mesh"],
      (services) => new Readiness(services),
    )
    .provide(
      "front",
      [
        ...CORE_SERVICES,
        "metrics",
        "lifecycle",
        "configuration",
        "feeds",
        "format",
        "demand",
        "appliedLimits",
        "callerMemory",
        "chunkTurns",
        "answers",
      ],
      (services) => new PublicServer(services),
    );
}
