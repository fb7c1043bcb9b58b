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

/** What a node knows of the last checkpoint. */
export interface CheckpointAge {
  /** Entries of the stream since the state that the checkpoint holds. */
  readonly entries: number;
  /** Time since the checkpoint was read. */
  readonly ms: number;
}

/** How old the last checkpoint may become. */
export interface CheckpointLimits {
  readonly entries: number;
  readonly ms: number;
}

/** Nodes that may append a checkpoint, and how their delays are spread. */
export interface CheckpointSchedule {
  readonly node: string;
  /** Nodes that hold a lease, in the order of their scopes' names. */
  readonly holders: readonly string[];
  /** Time that one holder has before the next one takes its place. */
  readonly stepMs: number;
  /** Longest random delay of a node that holds no lease. */
  readonly spreadMs: number;
}

/** Whether a checkpoint should be appended. */
export function isCheckpointDue(
  age: CheckpointAge,
  limits: CheckpointLimits,
): boolean {
  return age.entries >= limits.entries || age.ms >= limits.ms;
}

/**
 * How long a node waits with a checkpoint that is due. The first holder
 * appends at once and the others follow only when it does not; nodes without
 * a lease come last, at random, so that they rarely append the same state.
 */
export function computeCheckpointDelay(
  turn: CheckpointSchedule,
  random: Random,
): number {
  const holders = [...new Set(turn.holders)];
  const position = holders.indexOf(turn.node);
  return position >= 0
    ? position * turn.stepMs
    : holders.length * turn.stepMs + random.fraction() * turn.spreadMs;
}

/**
 * Returns the newest checkpoint that a reader can go on from when `first` is
 * the oldest retained offset.
 */
export function findCheckpoint(
  entries: readonly LogEntry[],
  first: number,
): ControlSnapshot | undefined {
  for (const { offset, records } of entries.toReversed()) {
    for (const candidate of records.toReversed()) {
      const record = ControlRecord.safeParse(candidate);
      if (
        record.success && record.data.kind === "checkpoint" &&
        isUsable(record.data.state, offset, first)
      ) {
        return record.data.state;
      }
    }
  }
  return undefined;
}

function isUsable(
  state: ControlSnapshot,
  offset: number,
  first: number,
): boolean {
  return state.asOf > 0 && state.asOf < offset && state.asOf >= first - 1 &&
    state.configuration.version <= state.asOf;
}
