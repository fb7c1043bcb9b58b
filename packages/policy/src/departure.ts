/**
 * Planned departures: which hosts leave, and when their groups must be empty.
 *
 * @module
 */
import type { Host } from "@zinniahill/schema";

/** Information about planned departures. */
export interface DepartureSources {
  /** Planned wall-clock times in milliseconds, by host or fabric domain. */
  readonly maintenance: ReadonlyMap<string, number>;
  /** Hosts that an operator has taken out of service. */
  readonly drainedHosts: ReadonlySet<string>;
  /** The present wall-clock time in milliseconds. */
  readonly wallTime: number;
}

/** The planned departure of a host. */
export interface Departure {
  /** Wall-clock time in milliseconds; undefined means as soon as possible. */
  readonly at: number | undefined;
}

/**
 * A replacement is begun this long before the departure. The rate of the weight
 * store limits loading, so moving a whole fabric domain can take minutes.
 */
export const REPLACE_AHEAD_MS = 600_000;
/** Without a replacement, a group is drained this long before departure. */
export const DRAIN_AHEAD_MS = 120_000;

/** Returns the departure of a host, or undefined if none is near. */
export function findDeparture(
  host: Host,
  sources: DepartureSources,
): Departure | undefined {
  if (sources.drainedHosts.has(host.host)) {
    return { at: undefined };
  }
  const times = [
    sources.maintenance.get(host.host),
    sources.maintenance.get(host.fabricDomain),
  ].filter((at) => at !== undefined);
  const isNear = times.some((at) => at - sources.wallTime <= REPLACE_AHEAD_MS);
  if (host.state === "leaving") {
    const leavesAt = Date.parse(host.leavesAt ?? "");
    const allTimes = Number.isNaN(leavesAt) ? times : [...times, leavesAt];
    return { at: allTimes.length === 0 ? undefined : Math.min(...allTimes) };
  }
  return isNear ? { at: Math.min(...times) } : undefined;
}

/** Whether a group must be drained even if no replacement is ready. */
export function isDrainDue(departure: Departure, wallTime: number): boolean {
  return departure.at !== undefined &&
    departure.at - wallTime <= DRAIN_AHEAD_MS;
}
