/**
 * Judgement of configurations: P8.
 *
 * @module
 */
import { type Evidence, isDefined, type Judged } from "./evidence.ts";
import { parseRecord } from "./log-records.ts";

/** The target size allows 7 s until a configuration is in force everywhere. */
export const CONFIGURATION_BOUND_MS = 7000;

/** P8: an accepted version is in force in time and never goes back. */
export function judgeConfigurations(evidence: Evidence): Judged {
  const accepted = listAcceptedVersions(evidence);
  const nodes = new Set(evidence.records.versions.map(({ node }) => node));
  const late = [...nodes].flatMap((node) =>
    listMoments(evidence, node, accepted.map(({ at }) => at)).map((moment) => {
      const version = accepted.findLast(({ at }) => at <= moment)?.version ?? 0;
      const due = findDueTime(evidence, node, moment);
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

/** When a version was accepted, and when the node came back to the log. */
function listMoments(
  { records }: Evidence,
  node: string,
  acceptedAt: readonly number[],
): number[] {
  const returns = (records.cutFromLog.get(node) ?? []).map(({ to }) => to);
  return [...acceptedAt, ...returns.filter(isDefined)];
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
