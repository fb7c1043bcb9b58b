/**
 * Configuration published by operators: routes, services, accounts and limits.
 *
 * @module
 */
import * as z from "zod";

/** Whether a request may be repeated, runs at most once, or is a stream. */
export const RequestKind = z.enum(["idempotent", "once", "stream"]);
/** Whether a request may be repeated, runs at most once, or is a stream. */
export type RequestKind = z.infer<typeof RequestKind>;

/** A service behind a route, with its share of the requests. */
export const Destination = z.object({
  service: z.string(),
  weight: z.number(),
});
/** A service behind a route, with its share of the requests. */
export type Destination = z.infer<typeof Destination>;

/** Handling of the requests for one host and path prefix. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: RequestKind,
  /** Maximum time until the last byte of the response. */
  timeoutMs: z.number(),
  /** Latency target of a response, or of the first event of a stream. */
  targetMs: z.number(),
  /** Target for the longest gap between two events of a stream. */
  gapTargetMs: z.number().optional(),
  /** 0 is the most urgent. */
  rank: z.number(),
  /** Maximum number of upstream instances that one request is sent to. */
  maxAttempts: z.number(),
  /** Whether requests need no API key. */
  isAnonymous: z.boolean(),
  /** Whether a request that may have run is sent to another instance. */
  repetition: z.enum(["repeat", "resume", "never"]),
  destinations: z.array(Destination),
});
/** Handling of the requests for one host and path prefix. */
export type Route = z.infer<typeof Route>;

/** A model, the number of hosts of one replica, and its load times. */
export const ModelProfile = z.object({
  name: z.string(),
  hostCount: z.number(),
  /** Share of the work that is assumed at the start. */
  initialShare: z.number(),
  /** Factor that applies to all engine times. */
  timeFactor: z.number(),
  /** Time to load the weights from the weight store. */
  loadMs: z.number(),
  /** Time to load weights that are staged on the host. */
  stagedLoadMs: z.number(),
});
/** A model, the number of hosts of one replica, and its load times. */
export type ModelProfile = z.infer<typeof ModelProfile>;

/** One-way delay between two data centres, or between their regions. */
export const NetworkDelay = z.object({
  from: z.string(),
  to: z.string(),
  delayMs: z.number().nonnegative(),
});
/** One-way delay between two data centres, or between their regions. */
export type NetworkDelay = z.infer<typeof NetworkDelay>;

/** Configured performance of the engines of a service. */
export const EngineProfile = z.object({
  slots: z.number(),
  kvCapacityTokens: z.number(),
  /** Token steps of one pass; each yields one token per running request. */
  stepsPerPass: z.number(),
  stepMs: z.number(),
  stepMsPerRequest: z.number(),
  stepMsPerThousandTokens: z.number(),
  prefillTokensPerMs: z.number(),
  pairMsPerMillion: z.number(),
  /** Maximum number of prompt tokens that one step processes. */
  chunkTokens: z.number(),
  maxLoadsPerSecond: z.number(),
  /** Number of concurrent loads that all run at full speed. */
  concurrentLoads: z.number(),
  /** Time from the order `open` until the group serves requests. */
  openMs: z.number(),
  /** One-way delays between data centres, or between their regions. */
  delays: z.array(NetworkDelay).optional(),
  models: z.array(ModelProfile),
});
/** Configured performance of the engines of a service. */
export type EngineProfile = z.infer<typeof EngineProfile>;

/** How the processes of a service start. */
export const ColdStartProfile = z.object({
  /** Time after its start for which a process is cold. */
  durationMs: z.number(),
  /** Requests that a cold process takes a second, from all nodes together. */
  requestsPerS: z.number(),
});
/** How the processes of a service start. */
export type ColdStartProfile = z.infer<typeof ColdStartProfile>;

/** A service that requests are relayed to. */
export const ServiceProfile = z.object({
  name: z.string(),
  maxConnections: z.number(),
  /** Absent if its processes are never cold. */
  coldStart: ColdStartProfile.optional(),
  engine: EngineProfile.optional(),
});
/** A service that requests are relayed to. */
export type ServiceProfile = z.infer<typeof ServiceProfile>;

/** A client account and its API keys. */
export const Account = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Overrides the rank of the route. */
  rank: z.number().optional(),
});
/** A client account and its API keys. */
export type Account = z.infer<typeof Account>;

/** Size and time limits on the requests of callers. */
export const CallerLimits = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});
/** Size and time limits on the requests of callers. */
export type CallerLimits = z.infer<typeof CallerLimits>;

/** A field that a configuration states where it has no meaning. */
export const IgnoredField = z.object({
  /** Name of the route. */
  route: z.string(),
  /** Name of the field, as the operator spells it. */
  field: z.string(),
  reason: z.string(),
});
/** A field that a configuration states where it has no meaning. */
export type IgnoredField = z.infer<typeof IgnoredField>;

/** One version of the operators' configuration. */
export const Configuration = z.object({
  version: z.number(),
  routes: z.array(Route),
  services: z.array(ServiceProfile),
  /** Absent if requests need no API key. */
  accounts: z.array(Account).optional(),
  limits: CallerLimits,
  /** Fields without a meaning on their routes, which nodes ignore. */
  ignoredFields: z.array(IgnoredField).optional(),
});
/** One version of the operators' configuration. */
export type Configuration = z.infer<typeof Configuration>;
