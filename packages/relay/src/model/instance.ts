/**
 * State that upstream instances report about themselves.
 *
 * @module
 */
import { isIPv4 } from "node:net";
import * as z from "zod";

const MAX_PORT = 65_535;

/** Whether a text is an IPv4 address with a port. */
export function isEndpointAddress(text: string): boolean {
  const [host = "", port = "", ...others] = text.split(":");
  return others.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port) &&
    Number(port) >= 1 && Number(port) <= MAX_PORT;
}

/** Address and port of an upstream process. */
export const EndpointAddress = z.string().refine(
  isEndpointAddress,
  "expected an IPv4 address and a port from 1 to 65535",
);
/** Address and port of an upstream process. */
export type EndpointAddress = z.infer<typeof EndpointAddress>;

/** State of a member within its group; the lead's state is the group's. */
export const MemberState = z.enum([
  "joining",
  "ready",
  "open",
  "closing",
  "broken",
]);
/** State of a member within its group; the lead's state is the group's. */
export type MemberState = z.infer<typeof MemberState>;

/** Membership of an instance in a group. */
export const Membership = z.object({
  group: z.string(),
  epoch: z.number(),
  /** 0 is the lead, which receives the requests. */
  rank: z.number(),
  state: MemberState,
});
/** Membership of an instance in a group. */
export type Membership = z.infer<typeof Membership>;

/** State of the engine of an instance. */
export const EngineState = z.object({
  fabricDomain: z.string(),
  /** Models whose weights are staged on the host. */
  staged: z.array(z.string()),
  /** The model that is loaded in memory. */
  model: z.string().optional(),
  membership: Membership.optional(),
});
/** State of the engine of an instance. */
export type EngineState = z.infer<typeof EngineState>;

/** One upstream process. */
export const Instance = z.object({
  id: z.string(),
  /** Start time; a different value under the same id is a different process. */
  bornAt: z.number(),
  service: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  slots: z.number(),
  isDraining: z.boolean(),
  /** Time for which the process remains cold, as of its entry; 0 if absent. */
  coldLeftMs: z.number().optional(),
  engine: EngineState.optional(),
});
/** One upstream process. */
export type Instance = z.infer<typeof Instance>;

/** Identifies a process: another one may have the id of an earlier one. */
export function createProcessKey(
  { id, bornAt }: Pick<Instance, "id" | "bornAt">,
): string {
  return `${id} ${bornAt}`;
}

/** Reply of an instance to a status request. */
export const EngineReport = z.object({
  bornAt: z.number().optional(),
  engine: EngineState,
  /** Orders accepted since the process started. */
  orderCount: z.number(),
  isBusy: z.boolean(),
  running: z.number(),
  waiting: z.number(),
  /** Engine times relative to the profile; above 1 if the engine is slower. */
  timeFactor: z.number(),
});
/** Reply of an instance to a status request. */
export type EngineReport = z.infer<typeof EngineReport>;
