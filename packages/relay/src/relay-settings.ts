/**
 * Settings of a relay node.
 *
 * @module
 */
import * as z from "zod";
import { HostResources } from "./model/peer-message.ts";

/** File descriptors of a process whose settings do not name a limit. */
export const DEFAULT_MAX_FDS = 8192;

/** Settings of a relay node, read at its start. */
export const RelaySettings = z.object({
  node: z.object({
    name: z.string(),
    dataCentre: z.string(),
    publicAddress: z.string(),
    peerAddress: z.string(),
    /** Shared by all nodes; a peer connection without it is refused. */
    peerToken: z.string(),
    metricsAddress: z.string().optional(),
    /** Share of a CPU core that one thread of the process gets. */
    coreShare: z.number(),
    /** What the host has; nodes choose the strongest hosts as hubs. */
    resources: HostResources.optional(),
  }),
  /** The region of each data centre; absent if there is no preference. */
  dataCentres: z.record(z.string(), z.string()).optional(),
  limits: z.object({
    /** Time from the stop signal until the process is killed. */
    gracePeriodMs: z.number(),
    /** How long callers may cache a lookup result. */
    lookupValidityMs: z.number(),
    /** Time after which an engine abandons work waiting for a lost member. */
    stallMs: z.number(),
    memoryBytes: z.number(),
    /** File descriptors that the process may have open. */
    maxFds: z.number().default(DEFAULT_MAX_FDS),
  }),
  retries: z.object({
    /** Retries allowed per first attempt, over all nodes. */
    ratio: z.number(),
    windowMs: z.number(),
    /** Additional retries allowed per window, over all nodes. */
    allowance: z.number(),
  }),
  loads: z.object({
    windowMs: z.number(),
  }),
  /** Bound on the requests to a cold upstream in any second. */
  coldUpstreams: z.object({
    /** Factor that applies to the rate of the service. */
    overage: z.number(),
    /** Additional requests. */
    slack: z.number(),
  }).default({ overage: 1.5, slack: 5 }),
  evacuation: z.object({
    /** Time in which requests to an evacuated data centre have to end. */
    boundMs: z.number(),
  }).optional(),
});
/** Settings of a relay node, read at its start. */
export type RelaySettings = z.infer<typeof RelaySettings>;
