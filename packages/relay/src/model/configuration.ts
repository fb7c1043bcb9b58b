/**
 * The configuration that operators publish: routes, services, accounts, limits.
 *
 * @module
 */
import * as z from "zod";

/** What may happen to a request more than once. */
export const RequestKind = z.enum(["idempotent", "once", "stream"]);
/** What may happen to a request more than once. */
export type RequestKind = z.infer<typeof RequestKind>;

/** A service that a route leads to, with its share of the requests. */
export const Destination = z.object({
  service: z.string(),
  weight: z.number(),
});
/** A service that a route leads to, with its share of the requests. */
export type Destination = z.infer<typeof Destination>;

/** How requests of one host and path prefix are handled. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: RequestKind,
  /** Longest time that a request may be kept waiting for its last byte. */
  timeoutMs: z.number(),
  /** Time within which an answer, or its first event, has its full worth. */
  targetMs: z.number(),
  /** Longest pause between events of a stream that is still in time. */
  gapTargetMs: z.number().optional(),
  /** 0 is the most urgent. */
  rank: z.number(),
  /** Upstreams that one request may be sent to. */
  maxAttempts: z.number(),
  isAnonymous: z.boolean(),
  /** Whether a stream may go on at another upstream after its last event. */
  isResumable: z.boolean(),
  destinations: z.array(Destination),
});
/** How requests of one host and path prefix are handled. */
export type Route = z.infer<typeof Route>;

/** A model, the hosts that one replica needs, and how it is loaded. */
export const ModelProfile = z.object({
  name: z.string(),
  hostCount: z.number(),
  /** Share of the work at the start. */
  initialShare: z.number(),
  /** Factor on all times of the engine. */
  timeFactor: z.number(),
  /** Time to load the weights from the weight store. */
  loadMs: z.number(),
  /** Time to load the weights that are staged on the host. */
  stagedLoadMs: z.number(),
});
/** A model, the hosts that one replica needs, and how it is loaded. */
export type ModelProfile = z.infer<typeof ModelProfile>;

/** What is known beforehand of the engines of a service. */
export const EngineProfile = z.object({
  slots: z.number(),
  kvCapacityTokens: z.number(),
  /** Token steps of one pass, each with a token of every running request. */
  stepsPerPass: z.number(),
  stepMs: z.number(),
  stepMsPerRequest: z.number(),
  stepMsPerThousandTokens: z.number(),
  prefillTokensPerMs: z.number(),
  pairMsPerMillion: z.number(),
  /** Most prompt tokens that one step reads. */
  chunkTokens: z.number(),
  maxLoadsPerSecond: z.number(),
  concurrentLoads: z.number(),
  /** Time from the order to open until the group serves. */
  openMs: z.number(),
  models: z.array(ModelProfile),
});
/** What is known beforehand of the engines of a service. */
export type EngineProfile = z.infer<typeof EngineProfile>;

/** A service that requests are relayed to. */
export const ServiceProfile = z.object({
  name: z.string(),
  maxConnections: z.number(),
  engine: EngineProfile.optional(),
});
/** A service that requests are relayed to. */
export type ServiceProfile = z.infer<typeof ServiceProfile>;

/** A client account and its keys. */
export const Account = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Goes before the rank of the route. */
  rank: z.number().optional(),
});
/** A client account and its keys. */
export type Account = z.infer<typeof Account>;

/** What a caller may send, and how long it may take. */
export const CallerLimits = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});
/** What a caller may send, and how long it may take. */
export type CallerLimits = z.infer<typeof CallerLimits>;

/** One version of everything that operators decide. */
export const Configuration = z.object({
  version: z.number(),
  routes: z.array(Route),
  services: z.array(ServiceProfile),
  /** Absent when no key is needed. */
  accounts: z.array(Account).optional(),
  limits: CallerLimits,
});
/** One version of everything that operators decide. */
export type Configuration = z.infer<typeof Configuration>;
