/**
 * The services of a node, by name.
 *
 * @module
 */
import type { Clock, Kernel, Logger, Random } from "@zinniahill/kernel";
import type {
  Engines,
  HostList,
  Log,
  PlainServices,
  Traffic,
  WeightStore,
} from "@zinniahill/platform";
import type { Settings } from "@zinniahill/schema";
import type { Administration } from "./administration/administration.ts";
import type { Calls } from "./calls/calls.ts";
import type { Evidence } from "./groups/evidence.ts";
import type { Hosts } from "./groups/hosts.ts";
import type { Keeper } from "./groups/keeper.ts";
import type { Leases } from "./groups/leases.ts";
import type { Metrics } from "./metrics.ts";
import type { Peers } from "./peers/peers.ts";
import type { PeerTransport } from "./peers/transport.ts";
import type { ProcessUsage } from "./process-usage.ts";
import type { Gate } from "./serving/gate.ts";
import type { Front } from "./serving/front.ts";
import type { Lookup } from "./serving/lookup.ts";
import type { Router } from "./serving/router.ts";
import type { Streams } from "./serving/streams.ts";
import type { Checkpoints } from "./state/checkpoints.ts";
import type { ControlState } from "./state/control-state.ts";
import type { Recovery } from "./state/recovery.ts";
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
  traffic: Traffic;
  log: Log;
  hostList: HostList;
  weightStore: WeightStore;
  engines: Engines;
  plainServices: PlainServices;
  state: ControlState;
  peerTransport: PeerTransport;
  peers: Peers;
  checkpoints: Checkpoints;
  recovery: Recovery;
  hosts: Hosts;
  evidence: Evidence;
  leases: Leases;
  keeper: Keeper;
  admission: Gate;
  router: Router;
  streams: Streams;
  calls: Calls;
  lookup: Lookup;
  front: Front;
  administration: Administration;
}

/** The kernel of a node. */
export type NodeKernel = Kernel<Services>;
