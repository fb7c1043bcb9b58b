/**
 * The services of a relay node, by name.
 *
 * @module
 */
import type { PeerTransport } from "@zinniahill/clients";
import type { Clock, Kernel, Logger, Random } from "@zinniahill/kernel";
import type { Intake } from "./entry/intake.ts";
import type { Lookup } from "./entry/lookup.ts";
import type { Readiness } from "./entry/readiness.ts";
import type { Feeds } from "./feeds/feeds.ts";
import type { Gauges } from "./gauges.ts";
import type { Groups } from "./hosts/groups.ts";
import type { Instances } from "./hosts/instances.ts";
import type { Lifecycle } from "./lifecycle.ts";
import type {
  Engines,
  RecordDecoder,
  RequestFormat,
  Seat,
  Topics,
} from "./outside.ts";
import type { InstanceNews } from "./peers/instance-news.ts";
import type { Mesh } from "./peers/mesh.ts";
import type { PlacementController } from "./placement/controller.ts";
import type { Demand } from "./placement/demand.ts";
import type { HolderElector } from "./placement/holder-elector.ts";
import type { LeadRelease } from "./placement/lead-release.ts";
import type { RelayMetrics } from "./relay-metrics.ts";
import type { RelaySettings } from "./relay-settings.ts";
import type { CurrentConfiguration } from "./routing/current-configuration.ts";
import type { Dispatcher } from "./routing/dispatcher.ts";
import type { Outstanding } from "./routing/outstanding.ts";
import type { Answers } from "./serving/answers.ts";
import type { Attempts } from "./serving/attempts.ts";
import type { Front } from "./serving/front.ts";

/** What an adapter provides. */
export interface OutsideServices {
  topics: Topics;
  seat: Seat;
  engines: Engines;
  decoder: RecordDecoder;
  format: RequestFormat;
}

/** Service types by name. */
export interface RelayServices extends OutsideServices {
  clock: Clock;
  random: Random;
  logger: Logger;
  settings: RelaySettings;
  metrics: RelayMetrics;
  gauges: Gauges;
  lifecycle: Lifecycle;
  peerTransport: PeerTransport;
  feeds: Feeds;
  configuration: CurrentConfiguration;
  instances: Instances;
  groups: Groups;
  mesh: Mesh;
  holder: HolderElector;
  instanceNews: InstanceNews;
  demand: Demand;
  leadRelease: LeadRelease;
  placement: PlacementController;
  outstanding: Outstanding;
  dispatcher: Dispatcher;
  attempts: Attempts;
  answers: Answers;
  intake: Intake;
  lookup: Lookup;
  readiness: Readiness;
  front: Front;
}

/** The kernel of a relay node. */
export type RelayKernel = Kernel<RelayServices>;
