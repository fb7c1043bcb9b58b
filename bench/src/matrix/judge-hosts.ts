/**
 * Judgements of groups and their hosts: P1, P2 and P6.
 *
 * @module
 */
import type { EngineRun } from "@zinniahill/stand-ins";
import {
  type Evidence,
  findEngine,
  findGroupAt,
  findGroups,
  isDefined,
  type Judged,
  listEngines,
  listRuns,
} from "./evidence.ts";
import { covers, overlaps } from "./records.ts";

/** Evidence is valid for 3 s, and a probe may take 1 s to fail. */
export const MISSING_HOST_BOUND_MS = 4000;
/** "A few seconds", for upstreams that leave. */
export const LEAVING_BOUND_MS = 5000;
/** P1: no work begins on a group one of whose hosts is missing. */
export function judgeMissingHosts(evidence: Evidence): Judged {
  const { missingHosts } = evidence.records;
  const groups = findGroups(evidence);
  const runs = listRuns(evidence);
  const violation = runs.flatMap(({ run }) =>
    (groups.get(run.group) ?? []).map((host) => {
      const since = run.startedAt - MISSING_HOST_BOUND_MS;
      const isMissing = covers(missingHosts, host, since, run.startedAt);
      return isMissing || hasLostRole(evidence, host, run, since)
        ? `${run.request} began at ${run.startedAt} on ${run.group}, but ` +
          `${host} was away`
        : undefined;
    })
  ).find(isDefined);
  const isExercised = [...groups.values()].flat().some((host) =>
    (missingHosts.get(host) ?? []).some(({ from, to = evidence.endedAt }) =>
      runs.some(({ run }) =>
        run.startedAt > from + MISSING_HOST_BOUND_MS && run.startedAt < to
      )
    )
  );
  return { isExercised, violation };
}

/** Whether the host lost its memory and was not loaded again since. */
function hasLostRole(
  evidence: Evidence,
  host: string,
  run: EngineRun,
  since: number,
): boolean {
  const { resets, receivedOrders } = findEngine(evidence, host);
  const reset = resets.findLast((at) => at < run.startedAt);
  return reset !== undefined && reset < since &&
    !receivedOrders.some(({ order, group, at, refusal }) =>
      order === "load" && group === run.group && refusal === undefined &&
      at > reset && at < run.startedAt
    );
}

/** P2: no host is ordered into two groups at the same time. */
export function judgeGroupsOfHosts(evidence: Evidence): Judged {
  const loads = listEngines(evidence).flatMap((engine) =>
    engine.receivedOrders
      .filter(({ order }) => order === "load")
      .map((order) => ({ host: engine.options.host, ...order }))
  );
  const violation = loads.flatMap(({ host, group, hosts, at, groupBefore }) => {
    const own = groupBefore !== "" && groupBefore !== group
      ? `${host} was ordered at ${at} to load for ${group} while it was in ` +
        `${groupBefore}`
      : undefined;
    const others = hosts.map((member) => {
      const other = findGroupAt(findEngine(evidence, member), at);
      return other !== "" && other !== group
        ? `${group} was loaded at ${at} with ${member}, which was in ${other}`
        : undefined;
    });
    return [own, ...others];
  }).find(isDefined);
  const groupsOfHosts = new Map<string, Set<string>>();
  for (const { host, group } of loads) {
    groupsOfHosts.set(
      host,
      (groupsOfHosts.get(host) ?? new Set()).add(group),
    );
  }
  const fences = new Set(loads.map(({ fence }) => fence));
  const isExercised = fences.size > 1 ||
    [...groupsOfHosts.values()].some(({ size }) => size > 1);
  return { isExercised, violation };
}

/** P6: no work begins on a group one of whose hosts leaves. */
export function judgeLeavingHosts(evidence: Evidence): Judged {
  const { leavingHosts } = evidence.records;
  const groups = findGroups(evidence);
  const late = listRuns(evidence).find(({ run }) =>
    (groups.get(run.group) ?? []).some((host) =>
      overlaps(leavingHosts, host, -Infinity, run.startedAt - LEAVING_BOUND_MS)
    )
  );
  const served = new Set(
    listRuns(evidence).flatMap(({ run }) => groups.get(run.group) ?? []),
  );
  return {
    isExercised: [...leavingHosts.keys()].some((host) => served.has(host)),
    violation: late &&
      `${late.run.request} began at ${late.run.startedAt} on ` +
        `${late.run.group}, one of whose hosts was leaving`,
  };
}
