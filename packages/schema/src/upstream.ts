/**
 * The interfaces of engines, the host list and the weight store.
 *
 * @module
 */
import * as z from "zod";
import { Address } from "./values.ts";

/** One host in the platform's host list. */
export const Host = z.object({
  host: z.string(),
  address: Address,
  dataCentre: z.string(),
  fabricDomain: z.string(),
  accelerators: z.number().int(),
  state: z.enum(["live", "leaving"]),
  /** ISO 8601 time at which a leaving host is removed. */
  leavesAt: z.string().optional(),
});
/** One host in the platform's host list. */
export type Host = z.infer<typeof Host>;

/** The platform's list of live and leaving hosts. */
export const HostListReply = z.object({ hosts: z.array(Host) });

/** The weight store's reply to a host that asks to load weights. */
export const GrantReply = z.object({
  granted: z.boolean(),
  retryAfterMs: z.number(),
});
/** The weight store's reply to a host that asks to load weights. */
export type GrantReply = z.infer<typeof GrantReply>;

/** The current activity of an engine. */
export const EngineRole = z.enum(["idle", "loading", "serving", "draining"]);
/** The current activity of an engine. */
export type EngineRole = z.infer<typeof EngineRole>;

/** An engine's report on itself. */
export const EngineStatus = z.object({
  host: z.string(),
  group: z.string(),
  role: EngineRole,
  model: z.string(),
  version: z.string(),
  fence: z.number(),
  /** Position in the group; 0 is the lead. */
  rank: z.number().int(),
  running: z.number().int(),
  waiting: z.number().int(),
  /** Time of the load measurement on the engine's own clock. */
  reportedAtMs: z.number(),
  /** On the lead: milliseconds since each member was last heard from. */
  members: z.record(z.string(), z.number()),
});
/** An engine's report on itself. */
export type EngineStatus = z.infer<typeof EngineStatus>;

/** An order to an engine. */
export const EngineOrder = z.object({
  id: z.string(),
  order: z.enum(["load", "serve", "drain", "unload"]),
  fence: z.number().int(),
  group: z.string(),
  model: z.string(),
  version: z.string(),
  /** Addresses of the group's hosts by name, the lead first. */
  hosts: z.array(z.object({ host: z.string(), address: Address })),
  rank: z.number().int(),
});
/** An order to an engine. */
export type EngineOrder = z.infer<typeof EngineOrder>;

/** Why an engine refused an order or a request. */
export const EngineRefusal = z.object({
  error: z.enum(["stale-fence", "busy", "wrong-group", "draining"]),
});
/** Why an engine refused an order or a request. */
export type EngineRefusal = z.infer<typeof EngineRefusal>;

/** One message of a chat. */
export const ChatMessage = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});
/** One message of a chat. */
export type ChatMessage = z.infer<typeof ChatMessage>;

/** A request to the lead of a group. */
export const GenerateRequest = z.object({
  request: z.string(),
  group: z.string(),
  model: z.string(),
  messages: z.array(ChatMessage),
  maxTokens: z.number().int().min(1),
  /** 0 is the most urgent. */
  priority: z.number().int(),
  /** Index of the first token to send. */
  offset: z.number().int().min(0),
  /** Text generated so far, when `offset` is above 0. */
  prefix: z.string().optional(),
});
/** A request to the lead of a group. */
export type GenerateRequest = z.infer<typeof GenerateRequest>;

/** Changes of an engine's prefix cache. */
export const CacheEvents = z.object({
  next: z.number().int(),
  events: z.array(z.object({
    sequence: z.number().int(),
    stored: z.array(z.string()).optional(),
    removed: z.array(z.string()).optional(),
  })),
});
/** Changes of an engine's prefix cache. */
export type CacheEvents = z.infer<typeof CacheEvents>;
