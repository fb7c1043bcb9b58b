/**
 * Planned departures: which hosts go, and by when their groups must be empty.
 *
 * @module
 */
import type { Host } from "@zinniahill/schema";

/** Sources of planned departures. */
export interface DepartureSources {
  /** Planned times in wall-clock milliseconds, by host or fabric domain. */
  readonly maintenance: ReadonlyMap<string, number>;
  /** Hosts that an operator has taken out of service. */
  readonly drainedHosts: ReadonlySet<string>;
  /** The present wall-clock time in milliseconds. */
  readonly wallTime: number;
}

/** A host that goes. */
export interface Departure {
  /** Wall-clock time of going; undefined when it goes as soon as it can. */
  readonly at: number | undefined;
}

/**
 * A replacement is begun this long before a date. Loading is limited by the
 * weight store's rate, so it can take minutes when a whole domain moves.
 */
export const REPLACE_AHEAD_MS = 600_000;
/** Without a replacement, a group is drained this long before a date. */
export const DRAIN_AHEAD_MS = 120_000;

/** Returns the departure of a host; undefined while it stays. */
export function findDeparture(
  host: Host,
  sources: DepartureSources,
): Departure | undefined {
  if (sources.drainedHosts.has(host.host)) {
    return { at: undefined };
  }
  const dates = [
    sources.maintenance.get(host.host),
    sources.maintenance.get(host.fabricDomain),
  ].filter((at) => at !== undefined);
  const isNear = dates.some((at) => at - sources.wallTime <= REPLACE_AHEAD_MS);
  if (host.state === "leaving") {
    const leavesAt = Date.parse(host.leavesAt ?? "");
    const known = Number.isNaN(leavesAt) ? dates : [...dates, leavesAt];
    return { at: known.length === 0 ? undefined : Math.min(...known) };
  }
  return isNear ? { at: Math.min(...dates) } : undefined;
}

/** Whether a group must be drained even if no replacement is ready. */
export function isDrainDue(departure: Departure, wallTime: number): boolean {
  return departure.at !== undefined &&
    departure.at - wallTime <= DRAIN_AHEAD_MS;
}
