/**
 * The judgement of each guarantee, from what callers and upstreams recorded.
 *
 * @module
 */
import {
  createToken,
  type EngineModel,
  type EngineRun,
  hashMessages,
} from "@zinniahill/stand-ins";
import { parseRecord } from "./log-records.ts";
import {
  type CallAttempt,
  type CallCase,
  covers,
  overlaps,
  type Records,
  type StreamAttempt,
  type StreamCase,
} from "./records.ts";
import type { World } from "./world.ts";

/** What a row shows of a guarantee. */
export type Finding =
  | { readonly state: "kept" }
  | { readonly state: "not exercised" }
  | { readonly state: "broken"; readonly reason: string };

/** What a judgement may use. */
export type Evidence =
  & Pick<World, "records" | "platform" | "recordServices">
  & {
    /** When the row ended. */
    readonly endedAt: number;
  };

/** Finds the first violation, and whether the guarantee was put to the test. */
type Judgement = (
  evidence: Evidence,
) => { readonly isExercised: boolean; readonly violation?: string };

/** Evidence is valid for 3 s, and a probe may take 1 s to fail. */
export const MISSING_HOST_BOUND_MS = 4000;
/** "A few seconds", for upstreams that leave. */
export const LEAVING_BOUND_MS = 5000;
/** The target size allows 7 s until a configuration is in force everywhere. */
export const CONFIGURATION_BOUND_MS = 7000;

/** Judgements by guarantee. */
export const JUDGEMENTS = {
  P1: judgeMissingHosts,
  P2: judgeGroupsOfHosts,
  P3: judgeAnswers,
  P4: judgeVerdicts,
  P5: judgeKeys,
  P6: judgeLeavingHosts,
  P7: judgePlannedStops,
  P8: judgeConfigurations,
} as const satisfies Record<string, Judgement>;

/** The id of a guarantee. */
export type Guarantee = keyof typeof JUDGEMENTS;

/** Judges one guarantee. */
export function judge(guarantee: Guarantee, evidence: Evidence): Finding {
  const { isExercised, violation } = JUDGEMENTS[guarantee](evidence);
  if (violation !== undefined) {
    return { state: "broken", reason: violation };
  }
  return { state: isExercised ? "kept" : "not exercised" };
}

function judgeMissingHosts(evidence: Evidence): ReturnType<Judgement> {
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

function judgeGroupsOfHosts(evidence: Evidence): ReturnType<Judgement> {
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

function judgeAnswers({ records }: Evidence): ReturnType<Judgement> {
  const violation =
    records.streams.flatMap((own) =>
      own.attempts.map((attempt) => findStreamViolation(own, attempt))
    ).find(isDefined) ?? findUnfinished(records);
  const isExercised = records.streams.some(({ attempts }) =>
    attempts.some(({ end }) => end === "answered")
  );
  return { isExercised, violation };
}

function findStreamViolation(
  own: StreamCase,
  attempt: StreamAttempt,
): string | undefined {
  const { request, tokens, end } = attempt;
  const seed = hashMessages({
    messages: [{ role: "user", content: own.prompt }],
  });
  const wrong = tokens.findIndex((token, index) =>
    token !== createToken(seed, index)
  );
  if (wrong >= 0) {
    return `${request}: token ${wrong} is not the one of this request`;
  }
  const isShort = tokens.length !== own.maxTokens;
  if (end === "answered" && isShort) {
    return `${request}: ${tokens.length} of ${own.maxTokens} tokens`;
  }
  return end === "refused" && tokens.length > 0
    ? `${request}: cut after ${tokens.length} tokens at ${attempt.to} ` +
      `(${attempt.message})`
    : undefined;
}

function findUnfinished(records: Records): string | undefined {
  const stream = records.streams.find(({ attempts }) =>
    attempts.some(({ end }) => end === undefined)
  );
  const call = records.calls.find(({ attempts }) =>
    attempts.some(({ end }) => end === undefined)
  );
  const name = stream?.prompt ?? call?.key;
  return name === undefined ? undefined : `${name} got no answer at all`;
}

function judgeVerdicts(evidence: Evidence): ReturnType<Judgement> {
  const { streams, calls } = evidence.records;
  const refusedStreams = streams.flatMap(({ attempts }) =>
    attempts.filter(isToldNotRun)
  );
  const runs = new Set(listRuns(evidence).map(({ run }) => run.request));
  const ranStream = refusedStreams.find(({ request }) => runs.has(request));
  const refusedCalls = calls.flatMap((own) =>
    own.attempts.filter(isToldNotRun).map((attempt) => ({ own, attempt }))
  );
  const ranCall = refusedCalls.find(({ own, attempt }) =>
    hasRunAttempt(evidence, own, attempt)
  );
  const violation = ranStream === undefined
    ? ranCall &&
      `${ranCall.own.key} at ${ranCall.attempt.node} was told not-run`
    : `${ranStream.request} was told not-run`;
  return {
    isExercised: refusedStreams.length + refusedCalls.length > 0,
    violation,
  };
}

function isToldNotRun({ verdict }: { verdict?: string }): boolean {
  return verdict === "not-run";
}

/** Whether a service ran the call for this attempt and not for another one. */
function hasRunAttempt(
  evidence: Evidence,
  { key }: CallCase,
  attempt: CallAttempt,
): boolean {
  const others = evidence.records.calls
    .filter((own) => own.key === key)
    .flatMap(({ attempts }) => attempts)
    .filter((other) => other !== attempt && other.node === attempt.node);
  return evidence.recordServices.some(({ writes }) =>
    writes.some((write) =>
      write.key === key && write.from === attempt.node &&
      write.at >= attempt.from &&
      !others.some(({ from }) => from <= write.at && from >= attempt.from)
    )
  );
}

function judgeKeys(evidence: Evidence): ReturnType<Judgement> {
  const counts = new Map<string, number>();
  for (const { attempts, key } of evidence.records.calls) {
    counts.set(key, (counts.get(key) ?? 0) + attempts.length);
  }
  const repeated = [...counts.keys()].find((key) =>
    evidence.recordServices
      .reduce((sum, service) => sum + service.countRuns(key), 0) > 1
  );
  const unknown = evidence.recordServices
    .flatMap(({ writes }) => writes)
    .find(({ key }) => !counts.has(key));
  return {
    isExercised: [...counts.values()].some((count) => count > 1),
    violation: repeated !== undefined
      ? `${repeated} ran more than once`
      : unknown && `a write came with a key that no caller used`,
  };
}

function judgeLeavingHosts(evidence: Evidence): ReturnType<Judgement> {
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

function judgePlannedStops(evidence: Evidence): ReturnType<Judgement> {
  const { records } = evidence;
  const attempts = [
    ...records.streams.flatMap((own) => own.attempts),
    ...records.calls.flatMap((own) => own.attempts),
  ];
  const atStop = attempts.filter(({ node, start, to = Infinity }) =>
    records.plannedStops.some((stop) =>
      stop.node === node && stop.start === start && to >= stop.from
    )
  );
  const cutByStop = atStop.find(({ node, start, end, to }) =>
    end === "lost" &&
    records.plannedStops.some((stop) =>
      stop.node === node && stop.start === start && stop.to === to
    )
  );
  const underMaintenance = listMaintained(evidence);
  const cutByMaintenance = underMaintenance.find(({ end }) =>
    end !== "answered" && end !== "lost"
  );
  const cut = cutByStop ?? cutByMaintenance;
  return {
    isExercised: atStop.length + underMaintenance.length > 0,
    violation: cut &&
      `an answer of ${cut.node} was cut at ${cut.to} by a planned stop`,
  };
}

/** Attempts that ran on a host when it left as announced. */
function listMaintained(evidence: Evidence): StreamAttempt[] {
  const { maintainedHosts, streams } = evidence.records;
  const groups = findGroups(evidence);
  const runs = listRuns(evidence);
  return streams.flatMap((own) => own.attempts).filter((attempt) =>
    runs.some(({ run }) =>
      run.request === attempt.request &&
      (groups.get(run.group) ?? []).some((host) =>
        (maintainedHosts.get(host) ?? []).some(({ from }) =>
          run.startedAt < from && (attempt.to ?? Infinity) >= from
        )
      )
    )
  );
}

function judgeConfigurations(evidence: Evidence): ReturnType<Judgement> {
  const accepted = listAcceptedVersions(evidence);
  const nodes = new Set(evidence.records.versions.map(({ node }) => node));
  const late = accepted.flatMap(({ version, at }) =>
    [...nodes].map((node) => {
      const due = findDueTime(evidence, node, at);
      const inForce = findVersion(evidence, node, due);
      return due <= evidence.endedAt && inForce < version
        ? `${node} had version ${inForce} instead of ${version} at ${due}`
        : undefined;
    })
  ).find(isDefined);
  const told = evidence.records.edits.find(({ id, isAccepted }) =>
    isAccepted !== undefined &&
    isAccepted !== accepted.some((version) => version.id === id)
  );
  const violation = late ?? findReversion(evidence) ??
    (told && `the operator at ${told.node} was told the wrong outcome`);
  return { isExercised: accepted.length > 0, violation };
}

/** Follows the chain of accepted edits through the log's own history. */
function listAcceptedVersions(
  { platform }: Evidence,
): { id: string; version: number; at: number }[] {
  const accepted: { id: string; version: number; at: number }[] = [];
  for (const { stream, offset, records, at } of platform.log.history) {
    for (const record of records.map(parseRecord)) {
      const isNext = stream === "control" &&
        record?.kind === "configuration" &&
        record.basis === (accepted.at(-1)?.version ?? 0);
      if (isNext) {
        accepted.push({ id: record.id, version: offset, at });
      }
    }
  }
  return accepted;
}

/** Until when a node must have a version that was accepted at a time. */
function findDueTime(
  { records }: Evidence,
  node: string,
  acceptedAt: number,
): number {
  const spans = (records.cutFromLog.get(node) ?? [])
    .toSorted((a, b) => a.from - b.from);
  return spans.reduce((due, { from, to = Infinity }) => {
    const start = due - CONFIGURATION_BOUND_MS;
    return from <= due && to > start ? to + CONFIGURATION_BOUND_MS : due;
  }, acceptedAt + CONFIGURATION_BOUND_MS);
}

function findVersion(
  { records }: Evidence,
  node: string,
  at: number,
): number {
  const samples = records.versions.filter((sample) =>
    sample.node === node && sample.at <= at
  );
  return samples.at(-1)?.version ?? 0;
}

function findReversion({ records }: Evidence): string | undefined {
  const highest = new Map<string, number>();
  for (const { node, version, at } of records.versions) {
    const before = highest.get(node) ?? 0;
    // Version 0 is a node that has none yet and serves nothing.
    if (version > 0 && version < before) {
      return `${node} went back from ${before} to ${version} at ${at}`;
    }
    highest.set(node, Math.max(before, version));
  }
  return undefined;
}

function listEngines({ platform }: Evidence): EngineModel[] {
  return [...platform.engines.values()];
}

function findEngine(evidence: Evidence, host: string): EngineModel {
  return listEngines(evidence).find(({ options }) => options.host === host)!;
}

function listRuns(
  evidence: Evidence,
): { engine: EngineModel; run: EngineRun }[] {
  return listEngines(evidence).flatMap((engine) =>
    engine.runs.map((run) => ({ engine, run }))
  );
}

/** Hosts of each group, as the orders to load named them. */
function findGroups(evidence: Evidence): Map<string, readonly string[]> {
  return new Map(
    listEngines(evidence).flatMap(({ receivedOrders }) =>
      receivedOrders
        .filter(({ order }) => order === "load")
        .map(({ group, hosts }) => [group, hosts] as const)
    ),
  );
}

/** The group whose role a host had just before a moment. */
function findGroupAt(engine: EngineModel, at: number): string {
  const changes = [
    ...engine.resets.map((time) => ({ at: time, group: "" })),
    ...engine.receivedOrders
      .filter(({ order, refusal }) =>
        refusal === undefined && (order === "load" || order === "unload")
      )
      .map(({ order, group, at: time }) => ({
        at: time,
        group: order === "load" ? group : "",
      })),
  ].filter((change) => change.at < at).toSorted((a, b) => a.at - b.at);
  return changes.at(-1)?.group ?? "";
}

function isDefined<Value>(value: Value | undefined): value is Value {
  return value !== undefined;
}
