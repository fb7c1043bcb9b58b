/**
 * The services of a relay node, by name.
 *
 * @module
 */
import type {
  AppliedLimits,
  CallerMemory,
  ChunkTurns,
  PeerTransport,
} from "@zinniahill/clients";
import type { Clock, Kernel, Logger, Random } from "@zinniahill/kernel";
import type { CapacityMonitor } from "./entry/capacity-monitor.ts";
import type { Lookup } from "./entry/lookup.ts";
import type { Readiness } from "./entry/readiness.ts";
import type { Feeds } from "./feeds/feeds.ts";
import type { Gauges } from "./gauges.ts";
import type { Groups } from "./hosts/groups.ts";
import type { Instances } from "./hosts/instances.ts";
import type { Lifecycle } from "./lifecycle.ts";
import type {
  EngineControl,
  FeedStore,
  HeaderCodec,
  HolderElection,
  RecordDecoder,
} from "./adapter.ts";
import type { InstanceUpdates } from "./peers/instance-updates.ts";
import type { Mesh } from "./peers/mesh.ts";
import type { PlacementController } from "./placement/controller.ts";
import type { Demand } from "./placement/demand.ts";
import type { HolderElector } from "./placement/holder-elector.ts";
import type { LeadRelease } from "./placement/lead-release.ts";
import type { RelayMetrics } from "./relay-metrics.ts";
import type { RelaySettings } from "./relay-settings.ts";
import type { ColdUpstreams } from "./routing/cold-upstreams.ts";
import type { CurrentConfiguration } from "./routing/current-configuration.ts";
import type { DataCentres } from "./routing/data-centres.ts";
import type { HomeUpstreams } from "./routing/home-upstreams.ts";
import type { Dispatcher } from "./routing/dispatcher.ts";
import type { Evacuations } from "./routing/evacuations.ts";
import type { UpstreamBalancer } from "./routing/upstream-balancer.ts";
import type { UpstreamLimits } from "./routing/upstream-limits.ts";
import type { ProcessExaminer } from "./routing/process-examiner.ts";
import type { Quarantine } from "./routing/quarantine.ts";
import type { OutstandingRequests } from "./routing/outstanding-requests.ts";
import type { RequestHandlers } from "./serving/request-handlers.ts";
import type { Attempts } from "./serving/attempts.ts";
import type { PublicServer } from "./serving/public-server.ts";

/** Services that an adapter provides. */
export interface AdapterServices {
  topics: FeedStore;
  seat: HolderElection;
  engines: EngineControl;
  decoder: RecordDecoder;
  format: HeaderCodec;
}

/** Service types by name. */
export interface RelayServices extends AdapterServices {
  clock: Clock;
  random: Random;
  logger: Logger;
  settings: RelaySettings;
  metrics: RelayMetrics;
  appliedLimits: AppliedLimits;
  gauges: Gauges;
  lifecycle: Lifecycle;
  peerTransport: PeerTransport;
  feeds: Feeds;
  configuration: CurrentConfiguration;
  instances: Instances;
  evacuations: Evacuations;
  groups: Groups;
  mesh: Mesh;
  holder: HolderElector;
  instanceNews: InstanceUpdates;
  demand: Demand;
  leadRelease: LeadRelease;
  placement: PlacementController;
  outstanding: OutstandingRequests;
  dataCentres: DataCentres;
  homes: HomeUpstreams;
  balancer: UpstreamBalancer;
  dispatcher: Dispatcher;
  coldUpstreams: ColdUpstreams;
  upstreamLimits: UpstreamLimits;
  processExaminer: ProcessExaminer;
  quarantine: Quarantine;
  callerMemory: CallerMemory;
  chunkTurns: ChunkTurns;
  attempts: Attempts;
  answers: RequestHandlers;
  intake: CapacityMonitor;
  lookup: Lookup;
  readiness: Readiness;
  front: PublicServer;
}

/** The kernel of a relay node. */
export type RelayKernel = Kernel<RelayServices>;
