/**
 * What the keys of the configuration feed hold.
 *
 * @module
 */
import * as z from "zod";

/** What a key of the configuration feed holds. */
export const ConfigurationKey = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("configuration") }),
  /** The data centre is evacuated until the key is deleted. */
  z.object({ kind: z.literal("evacuation"), dataCentre: z.string() }),
]);
/** What a key of the configuration feed holds. */
export type ConfigurationKey = z.infer<typeof ConfigurationKey>;
