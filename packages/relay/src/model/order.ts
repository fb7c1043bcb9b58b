/**
 * Orders to engines and the replies to them.
 *
 * @module
 */
import * as z from "zod";

const GroupIdentity = z.object({ group: z.string(), epoch: z.number() });

/** An order to an engine. */
export const Order = z.discriminatedUnion("kind", [
  GroupIdentity.extend({
    kind: z.literal("join"),
    model: z.string(),
    /** Instance ids; the first is the lead. */
    members: z.array(z.string()),
  }),
  GroupIdentity.extend({ kind: z.literal("open") }),
  GroupIdentity.extend({
    kind: z.literal("close"),
    /** Whether running requests are aborted. */
    isImmediate: z.boolean(),
  }),
  GroupIdentity.extend({ kind: z.literal("leave") }),
  z.object({ kind: z.literal("stage"), model: z.string() }),
]);
/** An order to an engine. */
export type Order = z.infer<typeof Order>;

/** Reply of an engine to an order. */
export const OrderReply = z.enum([
  /** The engine has begun to carry out the order. */
  "accepted",
  /** The engine is already in the requested state. */
  "done",
  /** The engine's state or order count was not the expected one. */
  "conflict",
  /** The engine has seen a later fencing number or epoch. */
  "fenced",
  /**
   * The engine does not know the order, or another process uses its address.
   */
  "refused",
]);
/** Reply of an engine to an order. */
export type OrderReply = z.infer<typeof OrderReply>;
