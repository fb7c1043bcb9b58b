/**
 * What a relay node is told at its start.
 *
 * @module
 */
import * as z from "zod";

/** What a relay node is told at its start. */
export const RelaySettings = z.object({
  node: z.object({
    name: z.string(),
    dataCentre: z.string(),
    publicAddress: z.string(),
    peerAddress: z.string(),
    /** Known to all nodes; a connection without it is refused. */
    peerToken: z.string(),
    metricsAddress: z.string().optional(),
    /** Share of a core's time that one thread of the process gets. */
    coreShare: z.number(),
  }),
  limits: z.object({
    /** Time from the request to stop until the process is killed. */
    gracePeriodMs: z.number(),
    /** How long callers may keep a lookup answer. */
    lookupValidityMs: z.number(),
    /** Time after which an engine gives up work on a lost member. */
    stallMs: z.number(),
    memoryBytes: z.number(),
  }),
  retries: z.object({
    /** Repeats allowed for each first attempt, over all nodes. */
    ratio: z.number(),
    windowMs: z.number(),
    /** Repeats allowed besides in one window, over all nodes. */
    allowance: z.number(),
  }),
  loads: z.object({
    windowMs: z.number(),
  }),
});
/** What a relay node is told at its start. */
export type RelaySettings = z.infer<typeof RelaySettings>;
