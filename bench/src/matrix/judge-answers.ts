/**
 * Judgements of what callers got: P3, P4, P5 and P7.
 *
 * @module
 */
import { createToken, hashMessages } from "@zinniahill/stand-ins";
import {
  type Evidence,
  findGroups,
  isDefined,
  type Judged,
  listRuns,
} from "./evidence.ts";
import type {
  CallAttempt,
  CallCase,
  Records,
  StreamAttempt,
  StreamCase,
} from "./records.ts";

/** P3: every answer is whole, in order and its own. */
export function judgeAnswers({ records }: Evidence): Judged {
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

/** P4: what is told not-run was run by no upstream. */
export function judgeVerdicts(evidence: Evidence): Judged {
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

/** P5: no key runs more than once. */
export function judgeKeys(evidence: Evidence): Judged {
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
      : unknown && "a write came with a key that no caller used",
  };
}

/** P7: no answer is cut by a planned stop or by maintenance. */
export function judgePlannedStops(evidence: Evidence): Judged {
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
