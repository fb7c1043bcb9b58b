/**
 * Upstream instances as they describe themselves.
 *
 * @module
 */
import * as z from "zod";

/** Where a member stands in its group; the lead's state is the group's. */
export const MemberState = z.enum([
  "joining",
  "ready",
  "open",
  "closing",
  "broken",
]);
/** Where a member stands in its group; the lead's state is the group's. */
export type MemberState = z.infer<typeof MemberState>;

/** The place of an instance in a group. */
export const Membership = z.object({
  group: z.string(),
  epoch: z.number(),
  /** 0 is the lead, which takes the requests. */
  rank: z.number(),
  state: MemberState,
});
/** The place of an instance in a group. */
export type Membership = z.infer<typeof Membership>;

/** What an instance says of its engine. */
export const EngineState = z.object({
  fabricDomain: z.string(),
  /** Models whose weights lie on the host. */
  staged: z.array(z.string()),
  /** The model in memory. */
  model: z.string().optional(),
  membership: Membership.optional(),
});
/** What an instance says of its engine. */
export type EngineState = z.infer<typeof EngineState>;

/** One upstream process. */
export const Instance = z.object({
  id: z.string(),
  /** When it started; another value under the same id is another process. */
  bornAt: z.number(),
  service: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  slots: z.number(),
  isDraining: z.boolean(),
  engine: EngineState.optional(),
});
/** One upstream process. */
export type Instance = z.infer<typeof Instance>;

/** What an instance says when it is asked. */
export const EngineReport = z.object({
  bornAt: z.number().optional(),
  engine: EngineState,
  /** Orders accepted since the start. */
  orderCount: z.number(),
  isBusy: z.boolean(),
  running: z.number(),
  waiting: z.number(),
  /** Over 1 when the engine is slower than its profile. */
  timeFactor: z.number(),
});
/** What an instance says when it is asked. */
export type EngineReport = z.infer<typeof EngineReport>;
