/**
 * Decides which entries of the instance list name an upstream to use.
 *
 * @module
 */
import type { Instance } from "../model/instance.ts";
import type { ServiceProfile } from "../model/configuration.ts";

/** What decides whether an entry fits its service. */
export type FittedEntry = Pick<Instance, "service" | "engine">;

/**
 * Whether an entry states an upstream of a configured service. Others may write
 * to the list as well: such an entry names no upstream, also if it stands under
 * the id of one. Without a configuration nothing is known of the services.
 */
export function fitsService(
  { service, engine }: FittedEntry,
  services: readonly ServiceProfile[] | undefined,
): boolean {
  if (services === undefined) {
    return true;
  }
  const profile = services.find(({ name }) => name === service);
  return profile !== undefined &&
    (profile.engine === undefined || engine !== undefined);
}
