/**
 * The services of a node, by name.
 *
 * @module
 */
import type { Clock, Kernel, Logger, Random } from "@zinniahill/kernel";
import type {
  AppliedLimits,
  CallerMemory,
  ChunkTurns,
  Engines,
  HostList,
  Log,
  PeerTransport,
  PlainServices,
  TrafficCounter,
  WeightStore,
} from "@zinniahill/clients";
import type { ConnectionLimits } from "@zinniahill/policy";
import type { Settings } from "@zinniahill/schema";
import type { AdministrationApi } from "./administration/administration-api.ts";
import type { CallExecutor } from "./calls/call-executor.ts";
import type { Departures } from "./groups/departures.ts";
import type { Evidence } from "./groups/evidence.ts";
import type { Hosts } from "./groups/hosts.ts";
import type { GroupController } from "./groups/group-controller.ts";
import type { Leases } from "./groups/leases.ts";
import type { Gauges } from "./gauges.ts";
import type { Metrics } from "./metrics.ts";
import type { Peers } from "./peers/peers.ts";
import type { ProcessUsage } from "./process-usage.ts";
import type { AdmissionControl } from "./serving/admission-control.ts";
import type { PublicApi } from "./serving/public-api.ts";
import type { Lookup } from "./serving/lookup.ts";
import type { RequestIntake } from "./serving/request-intake.ts";
import type { Router } from "./serving/router.ts";
import type { Streams } from "./serving/streams.ts";
import type { CheckpointWriter } from "./state/checkpoint-writer.ts";
import type { ControlState } from "./state/control-state.ts";
import type { StateRecovery } from "./state/state-recovery.ts";
import type { Lifecycle } from "./lifecycle.ts";

/** Service types by name. */
export interface Services {
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  settings: Settings;
  lifecycle: Lifecycle;
  processUsage: ProcessUsage;
  traffic: TrafficCounter;
  connectionLimits: ConnectionLimits;
  appliedLimits: AppliedLimits;
  callerMemory: CallerMemory;
  chunkTurns: ChunkTurns;
  requestIntake: RequestIntake;
  log: Log;
  hostList: HostList;
  weightStore: WeightStore;
  engines: Engines;
  plainServices: PlainServices;
  state: ControlState;
  peerTransport: PeerTransport;
  peers: Peers;
  checkpoints: CheckpointWriter;
  recovery: StateRecovery;
  hosts: Hosts;
  departures: Departures;
  evidence: Evidence;
  leases: Leases;
  groupController: GroupController;
  admission: AdmissionControl;
  router: Router;
  streams: Streams;
  calls: CallExecutor;
  lookup: Lookup;
  publicApi: PublicApi;
  administration: AdministrationApi;
  gauges: Gauges;
}

/** The kernel of a node. */
export type NodeKernel = Kernel<Services>;
