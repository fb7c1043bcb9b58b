/**
 * Placement: which free hosts form the next group of a model.
 *
 * @module
 */
import type { Host, ModelRule } from "@zinniahill/schema";

/** Hosts that are to form a group, the lead first. */
export interface PlacedGroup {
  readonly hosts: readonly Host[];
  readonly fabricDomain: string;
  readonly dataCentre: string;
}

/**
 * Chooses hosts for one more group inside one fabric domain. The domain with
 * the fewest free hosts that still fit is taken, so that larger domains stay
 * whole for later groups.
 */
export function placeGroup(
  model: ModelRule,
  freeHosts: readonly Host[],
): PlacedGroup | undefined {
  const domains = groupByDomain(freeHosts);
  const fitting = [...domains]
    .filter(([, hosts]) => hosts.length >= model.hosts)
    .sort(([, a], [, b]) => a.length - b.length);
  const [best] = fitting;
  if (best === undefined) {
    return undefined;
  }
  const [fabricDomain, domainHosts] = best;
  const hosts = domainHosts
    .toSorted((a, b) => a.host.localeCompare(b.host))
    .slice(0, model.hosts);
  return { hosts, fabricDomain, dataCentre: hosts[0]!.dataCentre };
}

function groupByDomain(hosts: readonly Host[]): Map<string, Host[]> {
  const domains = new Map<string, Host[]>();
  for (const host of hosts) {
    const members = domains.get(host.fabricDomain) ?? [];
    domains.set(host.fabricDomain, [...members, host]);
  }
  return domains;
}
