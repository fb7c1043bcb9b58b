/**
 * When a checkpoint is due, which node appends it, and which one a reader
 * starts from.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import {
  ControlRecord,
  type ControlSnapshot,
  type LogEntry,
} from "@zinniahill/schema";
import { findOffset } from "./log-position.ts";

/** Age of the last checkpoint that a node knows of. */
export interface CheckpointAge {
  /** Entries of the stream after the state in the checkpoint. */
  readonly entries: number;
  /** Time since the checkpoint was read. */
  readonly elapsedMs: number;
}

/** Age at which the next checkpoint is due. */
export interface CheckpointLimits {
  readonly entries: number;
  readonly elapsedMs: number;
}

/** Order and delays in which nodes append a checkpoint that is due. */
export interface CheckpointSchedule {
  readonly node: string;
  /** Nodes that hold a lease, in the order of their scopes' names. */
  readonly holders: readonly string[];
  /** Time that a holder has before the turn of the next one. */
  readonly stepMs: number;
  /** Longest random delay of nodes without a lease. */
  readonly spreadMs: number;
}

/** Whether a checkpoint should be appended. */
export function isCheckpointDue(
  age: CheckpointAge,
  limits: CheckpointLimits,
): boolean {
  return age.entries >= limits.entries || age.elapsedMs >= limits.elapsedMs;
}

/**
 * Returns the delay, in milliseconds, before a node appends a checkpoint that
 * is due. The first holder appends at once, and the others only if it does not.
 * Nodes without a lease come last, after a random delay, so that they rarely
 * append the same state.
 */
export function computeCheckpointDelay(
  schedule: CheckpointSchedule,
  random: Random,
): number {
  const holders = [...new Set(schedule.holders)];
  const position = holders.indexOf(schedule.node);
  return position >= 0
    ? position * schedule.stepMs
    : holders.length * schedule.stepMs + random.fraction() * schedule.spreadMs;
}

/**
 * Returns the newest checkpoint that a reader can start from when
 * `firstOffset` is the oldest retained offset.
 */
export function findCheckpoint(
  entries: readonly LogEntry[],
  firstOffset: number,
): ControlSnapshot | undefined {
  const [newest] = listCheckpoints(entries, firstOffset);
  return newest;
}

/**
 * Whether a checkpoint was made from the log that it is in: one that was under
 * way while the log was restored may cover records that are lost.
 */
export function isOfLog(
  { asOf, lastId }: ControlSnapshot,
  entryAsOf: LogEntry | undefined,
): boolean {
  return lastId === "" || entryAsOf?.offset !== asOf ||
    entryAsOf.records.some((record) =>
      ControlRecord.safeParse(record).data?.id === lastId
    );
}

/** Lists the checkpoints that a reader can start from, newest first. */
export function listCheckpoints(
  entries: readonly LogEntry[],
  firstOffset: number,
): ControlSnapshot[] {
  const checkpoints: ControlSnapshot[] = [];
  for (const { offset, records } of entries.toReversed()) {
    for (const candidate of records.toReversed()) {
      const record = ControlRecord.safeParse(candidate);
      if (
        record.success && record.data.kind === "checkpoint" &&
        isUsable(record.data.state, offset, firstOffset)
      ) {
        checkpoints.push(record.data.state);
      }
    }
  }
  return checkpoints;
}

function isUsable(
  state: ControlSnapshot,
  offset: number,
  firstOffset: number,
): boolean {
  return state.asOf > 0 && state.asOf < offset &&
    state.asOf >= firstOffset - 1 &&
    findOffset(state.configuration.version) <= state.asOf;
}
