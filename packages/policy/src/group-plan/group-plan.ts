/**
 * Plans which groups free hosts form, which groups end for others, and which
 * models spares stage.
 *
 * @module
 */
import {
  chooseConversion,
  type Conversion,
  type ConversionChoice,
} from "./conversion.ts";
import { computeLack } from "./data-centre-lack.ts";
import {
  chooseFormation,
  type DomainHosts,
  type Formation,
  type FormationCandidate,
} from "./formation.ts";
import type { FreeHost, GroupPlanInput } from "./group-plan-input.ts";
import { mustLoad } from "./join-cost.ts";
import { prepareSpares, type Staging, type Warming } from "./spare-staging.ts";

/** What to do with the hosts. */
export interface GroupPlan {
  readonly formations: readonly Formation[];
  /** At most one, as each changes what the next would gain. */
  readonly conversions: readonly Conversion[];
  readonly stagings: readonly Staging[];
  readonly warmings: readonly Warming[];
}

/** Plans formations by domain, the model with most work per group first. */
export function createGroupPlan(input: GroupPlanInput): GroupPlan {
  const groupCounts = countGroupsToCome(input);
  const modelsByDomain = new Map(
    [...input.modelsByDomain].map(([domain, models]) => [domain, [...models]]),
  );
  const formations: Formation[] = [];
  const conversions: Conversion[] = [];
  const domains = listDomains(input);
  // Hosts that a conversion uses, or that wait for others.
  const heldDomains = new Set<string>();
  const findConversion = (
    domain: DomainHosts,
    formation?: FormationCandidate,
  ) => {
    const choice = isSettled(input, domain)
      ? chooseConversion(input, groupCounts, domain, formation)
      : undefined;
    if (choice !== undefined && isWorthWaiting(choice)) {
      heldDomains.add(domain.fabricDomain);
      if (choice.isDue && conversions.length === 0) {
        conversions.push(choice.conversion);
      }
    }
  };
  for (let isDone = false; !isDone;) {
    isDone = true;
    for (const [name, domain] of domains) {
      if (domain.hosts.length === 0 || heldDomains.has(name)) {
        continue;
      }
      const choice = chooseFormation(input, groupCounts, domain);
      if (choice?.isPreferred !== true) {
        findConversion(domain, choice?.formation);
      }
      const isHeld = heldDomains.has(name) || choice?.isPreferred !== true &&
          isWaitingForReturn(input, domain);
      if (choice === undefined || isHeld) {
        continue;
      }
      const { model, members } = choice.formation;
      const demandShare = input.demandShares.get(model) ?? 0;
      formations.push({ ...choice.formation, demandShare });
      groupCounts.set(model, (groupCounts.get(model) ?? 0) + 1);
      modelsByDomain.set(name, [...modelsByDomain.get(name) ?? [], model]);
      domains.set(name, {
        ...domain,
        hosts: domain.hosts.filter(({ id }) => !members.includes(id)),
        reservedFor: undefined,
      });
      isDone = false;
    }
  }
  for (const domain of domains.values()) {
    if (conversions.length === 0 && !heldDomains.has(domain.fabricDomain)) {
      findConversion(domain);
    }
  }
  const preparations = [...domains].flatMap(([name, domain]) =>
    domain.reservedFor !== undefined || heldDomains.has(name) ||
      isWaitingForReturn(input, domain)
      ? []
      : [
        prepareSpares(
          input.engine,
          modelsByDomain.get(name) ?? [],
          domain.hosts,
        ),
      ]
  );
  return {
    formations,
    conversions,
    stagings: preparations.flatMap(({ stagings }) => stagings),
    warmings: preparations.flatMap(({ warmings }) => warmings),
  };
}

/**
 * Whether hosts are kept for a conversion: it begins now, or soon as a repair.
 */
function isWorthWaiting({ conversion, isDue }: ConversionChoice): boolean {
  return isDue || conversion.isRepair;
}

/** Counts groups with those that conversions in progress are for. */
function countGroupsToCome(
  { groupCounts, pastConversions }: GroupPlanInput,
): Map<string, number> {
  const counts = new Map(groupCounts);
  for (const { to, isInProgress } of pastConversions) {
    if (isInProgress) {
      counts.set(to, (counts.get(to) ?? 0) + 1);
    }
  }
  return counts;
}

/**
 * Lists the domains with free hosts or groups, those first whose data centre
 * lacks most for its own callers.
 */
function listDomains(input: GroupPlanInput): Map<string, DomainHosts> {
  const domains = new Map<string, FreeHost[]>();
  for (const host of input.freeHosts) {
    const others = domains.get(host.fabricDomain) ?? [];
    domains.set(host.fabricDomain, [...others, host]);
  }
  for (const { fabricDomain } of input.convertibleGroups) {
    domains.set(fabricDomain, domains.get(fabricDomain) ?? []);
  }
  const lacks = computeLack(input, input.modelsByDomain);
  const getLack = (name: string) =>
    lacks.get(input.dataCentres.get(name) ?? "") ?? 0;
  const reservations = new Map(
    input.pastConversions.filter(({ isInProgress }) => isInProgress)
      .map(({ fabricDomain, to }) => [fabricDomain, to]),
  );
  return new Map(
    [...domains].sort(([a], [b]) => getLack(b) - getLack(a))
      .map(([fabricDomain, hosts]) => [fabricDomain, {
        fabricDomain,
        hosts,
        reservedFor: reservations.get(fabricDomain),
      }]),
  );
}

/**
 * Whether the hosts of a domain are known: none is about to be added or to
 * become free, but for those of groups with a draining member.
 */
function isSettled(input: GroupPlanInput, domain: DomainHosts): boolean {
  const isEnding = input.endingHosts.some(({ fabricDomain }) =>
    fabricDomain === domain.fabricDomain
  );
  return !input.hasNewHosts && domain.reservedFor === undefined &&
    (isEnding || !input.unsettledDomains.has(domain.fabricDomain)) &&
    !isWaitingForReturn(input, domain);
}

/**
 * Whether hosts that were lost just now could complete a group without loads,
 * most of whose members are free.
 */
function isWaitingForReturn(
  { engine, returningHosts }: GroupPlanInput,
  { fabricDomain, hosts }: DomainHosts,
): boolean {
  const returning = returningHosts.get(fabricDomain) ?? 0;
  return returning > 0 && engine.models.some(({ name, hostCount }) => {
    const ready = hosts.filter((host) => !mustLoad(host, name)).length;
    return ready < hostCount && ready * 2 >= hostCount &&
      ready + returning >= hostCount;
  });
}
