/**
 * A relay node: its services by name.
 *
 * @module
 */
import { WebSocketTransport } from "@zinniahill/clients";
import {
  Kernel,
  type Logger,
  SystemClock,
  SystemRandom,
} from "@zinniahill/kernel";
import { Intake } from "./entry/intake.ts";
import { Lookup } from "./entry/lookup.ts";
import { Readiness } from "./entry/readiness.ts";
import { Feeds } from "./feeds/feeds.ts";
import { Gauges } from "./gauges.ts";
import { Groups } from "./hosts/groups.ts";
import { Instances } from "./hosts/instances.ts";
import { Lifecycle } from "./lifecycle.ts";
import { InstanceNews } from "./peers/instance-news.ts";
import { Mesh } from "./peers/mesh.ts";
import { PlacementController } from "./placement/controller.ts";
import { Demand } from "./placement/demand.ts";
import { HolderElector } from "./placement/holder-elector.ts";
import { LeadRelease } from "./placement/lead-release.ts";
import { RelayMetrics } from "./relay-metrics.ts";
import type { RelaySettings } from "./relay-settings.ts";
import { CurrentConfiguration } from "./routing/current-configuration.ts";
import { Dispatcher } from "./routing/dispatcher.ts";
import { Outstanding } from "./routing/outstanding.ts";
import type {
  OutsideServices,
  RelayKernel,
  RelayServices,
} from "./services.ts";
import { Answers } from "./serving/answers.ts";
import { Attempts } from "./serving/attempts.ts";
import { Front } from "./serving/front.ts";

type Names = readonly (keyof RelayServices)[];

const CORE: Names = ["clock", "random", "logger", "settings"];

/** Creates the outside services of an adapter. */
export type OutsideFactory = {
  [Name in keyof OutsideServices]: (
    kernel: RelayKernel,
  ) => OutsideServices[Name];
};

/** Creates a relay node that is not started yet. */
export function createRelayNode(
  settings: RelaySettings,
  logger: Logger,
  outside: OutsideFactory,
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
      "peerTransport",
      [],
      () => new WebSocketTransport(settings.node.peerToken),
    );
  kernel
    .provide("topics", CORE, outside.topics)
    .provide("seat", CORE, outside.seat)
    .provide("engines", CORE, outside.engines)
    .provide("decoder", CORE, outside.decoder)
    .provide("format", CORE, outside.format);
  provideState(kernel);
  kernel.provide(
    "gauges",
    [
      ...CORE,
      "metrics",
      "feeds",
      "groups",
      "mesh",
      "holder",
      "placement",
      "front",
      "intake",
    ],
    (services) => new Gauges(services),
  );
  provideServing(kernel);
  return kernel;
}

/** What the node believes, and its orders. */
function provideState(kernel: RelayKernel): void {
  kernel
    .provide("feeds", [...CORE, "topics"], (services) => new Feeds(services))
    .provide(
      "configuration",
      [...CORE, "feeds", "decoder"],
      (services) => new CurrentConfiguration(services),
    )
    .provide(
      "instances",
      [...CORE, "feeds", "decoder"],
      (services) => new Instances(services),
    )
    .provide(
      "groups",
      [...CORE, "instances"],
      (services) => new Groups(services),
    )
    .provide("intake", CORE, (services) => new Intake(services))
    .provide(
      "mesh",
      [
        ...CORE,
        "peerTransport",
        "topics",
        "decoder",
        "feeds",
        "lifecycle",
        "intake",
      ],
      (services) => new Mesh(services),
    )
    .provide(
      "holder",
      [...CORE, "seat", "lifecycle", "mesh", "intake", "feeds"],
      (services) => new HolderElector(services),
    )
    .provide(
      "instanceNews",
      [...CORE, "feeds", "instances", "mesh", "holder"],
      (services) => new InstanceNews(services),
    )
    .provide("demand", CORE, (services) => new Demand(services))
    .provide(
      "leadRelease",
      [...CORE, "engines", "mesh"],
      (services) => new LeadRelease(services),
    )
    .provide(
      "placement",
      [
        ...CORE,
        "configuration",
        "instances",
        "groups",
        "mesh",
        "holder",
        "demand",
        "engines",
        "leadRelease",
        "feeds",
        "metrics",
      ],
      (services) => new PlacementController(services),
    );
}

/** The way of a request. */
function provideServing(kernel: RelayKernel): void {
  kernel
    .provide(
      "outstanding",
      [...CORE, "groups", "mesh", "placement"],
      (services) => new Outstanding(services),
    )
    .provide(
      "dispatcher",
      [...CORE, "instances", "groups", "outstanding"],
      (services) => new Dispatcher(services),
    )
    .provide(
      "attempts",
      [...CORE, "format", "dispatcher", "outstanding", "mesh"],
      (services) => new Attempts(services),
    )
    .provide(
      "answers",
      [...CORE, "attempts"],
      (services) => new Answers(services),
    )
    .provide(
      "lookup",
      [...CORE, "mesh", "lifecycle", "intake"],
      (services) => new Lookup(services),
    )
    .provide(
      "readiness",
      [...CORE, "lifecycle", "configuration", "feeds"],
      (services) => new Readiness(services),
    )
    .provide(
      "front",
      [
        ...CORE,
        "metrics",
        "lifecycle",
        "configuration",
        "feeds",
        "format",
        "demand",
        "answers",
      ],
      (services) => new Front(services),
    );
}
