/**
 * Orders to engines and how they end.
 *
 * @module
 */
import * as z from "zod";

const GroupName = z.object({ group: z.string(), epoch: z.number() });

/** What an engine is told to do. */
export const Order = z.discriminatedUnion("kind", [
  GroupName.extend({
    kind: z.literal("join"),
    model: z.string(),
    /** Instance ids; the first is the lead. */
    members: z.array(z.string()),
  }),
  GroupName.extend({ kind: z.literal("open") }),
  GroupName.extend({
    kind: z.literal("close"),
    /** Whether running requests are ended. */
    isImmediate: z.boolean(),
  }),
  GroupName.extend({ kind: z.literal("leave") }),
  z.object({ kind: z.literal("stage"), model: z.string() }),
]);
/** What an engine is told to do. */
export type Order = z.infer<typeof Order>;

/** How an engine answered an order. */
export const OrderReply = z.enum([
  /** The order has begun. */
  "accepted",
  /** The state already holds. */
  "done",
  /** The engine's state or its count of orders was another. */
  "conflict",
  /** A later fencing number or epoch was seen. */
  "fenced",
  /** The engine does not know the order, or another process has its address. */
  "refused",
]);
/** How an engine answered an order. */
export type OrderReply = z.infer<typeof OrderReply>;
