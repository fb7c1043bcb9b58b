/**
 * A node: its services by name.
 *
 * @module
 */
import {
  Kernel,
  LineLogger,
  SystemClock,
  SystemRandom,
} from "@zinniahill/kernel";
import {
  AppliedLimits,
  CallerMemory,
  ChunkTurns,
  EngineClient,
  HostListClient,
  LogClient,
  PlainServiceClient,
  TrafficCounter,
  WebSocketTransport,
  WeightStoreClient,
} from "@zinniahill/clients";
import { computeConnectionLimits } from "@zinniahill/policy";
import type { Settings } from "@zinniahill/schema";
import { AdministrationApi } from "./administration/administration-api.ts";
import { CallExecutor } from "./calls/call-executor.ts";
import { Departures } from "./groups/departures.ts";
import { Evidence } from "./groups/evidence.ts";
import { Hosts } from "./groups/hosts.ts";
import { GroupController } from "./groups/group-controller.ts";
import { Leases } from "./groups/leases.ts";
import { Lifecycle } from "./lifecycle.ts";
import { Gauges } from "./gauges.ts";
import { Metrics } from "./metrics.ts";
import { Peers } from "./peers/peers.ts";
import { ProcessUsage } from "./process-usage.ts";
import type { NodeKernel, Services } from "./services.ts";
import { PublicApi } from "./serving/public-api.ts";
import { AdmissionControl } from "./serving/admission-control.ts";
import { Lookup } from "./serving/lookup.ts";
import { RequestIntake } from "./serving/request-intake.ts";
import { Router } from "./serving/router.ts";
import { Streams } from "./serving/streams.ts";
import { CheckpointWriter } from "./state/checkpoint-writer.ts";
import { ControlState } from "./state/control-state.ts";
import { StateRecovery } from "./state/state-recovery.ts";

/** Services that a test puts in place of the node's own. */
export type Replacements = Partial<Services>;

type Names = readonly (keyof Services)[];
type Provide = <Name extends keyof Services>(
  name: Name,
  needs: Names,
  create: (kernel: NodeKernel) => Services[Name],
) => void;

/** Creates a node that is not started yet. */
export function createNode(
  settings: Settings,
  replacements: Replacements = {},
): NodeKernel {
  const kernel = createCoreNode(settings, replacements);
  const base: Names = ["clock", "random", "logger", "settings"];
  kernel.provide(
    "administration",
    [
      ...base,
      "state",
      "evidence",
      "peers",
      "lifecycle",
      "connectionLimits",
      "requestIntake",
    ],
    (services) => new AdministrationApi(services),
  );
  kernel.provide(
    "gauges",
    [
      ...base,
      "metrics",
      "state",
      "evidence",
      "leases",
      "peers",
      "admission",
      "callerMemory",
    ],
    (services) => new Gauges(services),
  );
  kernel.provide(
    "publicApi",
    [
      ...base,
      "metrics",
      "lifecycle",
      "state",
      "admission",
      "streams",
      "calls",
      "lookup",
      "connectionLimits",
      "requestIntake",
    ],
    (services) => new PublicApi(services),
  );
  return kernel;
}

/** Creates a node that does not listen for callers and operators. */
export function createCoreNode(
  settings: Settings,
  replacements: Replacements = {},
): NodeKernel {
  const kernel: NodeKernel = new Kernel<Services>();
  const provide: Provide = (name, needs, create) => {
    const replacement = replacements[name];
    if (replacement === undefined) {
      kernel.provide(name, needs, create);
    } else {
      kernel.provide(name, [], () => replacement);
    }
  };
  const { node, platform, output } = settings;
  const base: Names = ["clock", "random", "logger", "settings"];

  provide("clock", [], () => new SystemClock());
  provide("random", [], () => new SystemRandom());
  provide("settings", [], () => settings);
  provide(
    "logger",
    [],
    () =>
      new LineLogger({
        level: output["log-level"],
        fields: { node: node.name },
      }),
  );
  provide("metrics", [], () => new Metrics(output.metrics, node.name));
  provide("lifecycle", [], () => new Lifecycle());
  provide("traffic", [], () => new TrafficCounter());
  provide("processUsage", [], () => new ProcessUsage());

  provideCallerLimits(settings, provide);
  provide(
    "log",
    ["clock", "traffic"],
    (services) =>
      new LogClient(services.find("clock"), {
        address: platform.log,
        timeoutMs: platform["log-timeout"],
      }, services.find("traffic")),
  );
  provide(
    "hostList",
    ["clock", "traffic"],
    (services) =>
      new HostListClient(
        services.find("clock"),
        platform["host-list"],
        services.find("traffic"),
      ),
  );
  provide(
    "weightStore",
    ["clock", "traffic"],
    (services) =>
      new WeightStoreClient(
        services.find("clock"),
        platform["weight-store"],
        services.find("traffic"),
      ),
  );
  provide(
    "engines",
    ["clock", "traffic"],
    (services) =>
      new EngineClient(services.find("clock"), services.find("traffic")),
  );
  provide(
    "plainServices",
    ["clock", "traffic"],
    (services) =>
      new PlainServiceClient(services.find("clock"), services.find("traffic")),
  );

  provide("state", [...base, "log"], (services) => new ControlState(services));
  provide(
    "peerTransport",
    ["settings", "traffic", "connectionLimits", "appliedLimits"],
    createPeerTransport,
  );
  provide(
    "peers",
    [...base, "lifecycle", "peerTransport", "state"],
    (services) => new Peers(services),
  );
  provide(
    "checkpoints",
    [...base, "state"],
    (services) => new CheckpointWriter(services),
  );
  provide(
    "recovery",
    [...base, "state", "peers"],
    (services) => new StateRecovery(services),
  );
  provide("hosts", [...base, "hostList"], (services) => new Hosts(services));
  provide(
    "departures",
    [...base, "state", "hosts"],
    (services) => new Departures(services),
  );
  provide(
    "evidence",
    [...base, "engines", "peers", "state", "hosts", "departures", "leases"],
    (services) => new Evidence(services),
  );
  provide(
    "leases",
    [...base, "lifecycle", "state", "hosts"],
    (services) => new Leases(services),
  );
  provide(
    "groupController",
    [...base, "engines", "weightStore", "departures", "evidence", "leases"],
    (services) => new GroupController(services),
  );

  provide(
    "admission",
    [...base, "state", "evidence", "peers"],
    (services) => new AdmissionControl(services),
  );
  provide(
    "router",
    [...base, "evidence"],
    (services) => new Router(services),
  );
  provide(
    "streams",
    [...base, "engines", "evidence", "state", "admission", "router"],
    (services) => new Streams(services),
  );
  provide(
    "calls",
    [...base, "log", "plainServices"],
    (services) => new CallExecutor(services),
  );
  provide(
    "lookup",
    [...base, "state", "lifecycle", "peers"],
    (services) => new Lookup(services),
  );
  return kernel;
}

/** Provides what bounds the memory and the connections of callers. */
function provideCallerLimits({ limits }: Settings, provide: Provide): void {
  const memoryBytes = limits["memory-bytes"];
  provide(
    "connectionLimits",
    [],
    () =>
      computeConnectionLimits({ maxFds: limits["open-files"], memoryBytes }),
  );
  provide(
    "appliedLimits",
    ["clock", "logger", "metrics"],
    (services) => new AppliedLimits(services),
  );
  provide(
    "callerMemory",
    ["clock", "logger", "appliedLimits"],
    (services) => new CallerMemory(services, memoryBytes),
  );
  provide(
    "chunkTurns",
    ["clock", "callerMemory", "appliedLimits"],
    (services) => new ChunkTurns(services),
  );
  provide(
    "requestIntake",
    ["clock", "callerMemory", "chunkTurns", "appliedLimits"],
    (services) => new RequestIntake(services),
  );
}

function createPeerTransport(services: NodeKernel): WebSocketTransport {
  const appliedLimits = services.find("appliedLimits");
  return new WebSocketTransport(
    services.find("settings").node["peer-token"],
    services.find("traffic"),
    {
      maxUnknown: services.find("connectionLimits").unknownPeers,
      onClose: (address, open) =>
        appliedLimits.record("peer-connections", { address, open }),
    },
  );
}
