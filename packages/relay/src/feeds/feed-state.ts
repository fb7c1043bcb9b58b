/**
 * What a node knows of one feed: its records, how recent they are, and how the
 * store has answered.
 *
 * @module
 */
import type { KeyRecord } from "../model/peer-message.ts";
import type { RecordTable } from "./record-table.ts";

/** Called with the records that changed a feed. */
export type FeedListener = (records: readonly KeyRecord[]) => void;

/** The state of one feed. */
export interface FeedState {
  readonly table: RecordTable;
  readonly listeners: Set<FeedListener>;
  /**
   * From when the store is believed after a restore, or after the start in a
   * later era; undefined once the whole topic was read since.
   */
  confirmAt: number | undefined;
  isLoaded: boolean;
  /** Reads in a row whose offset the store did not have. */
  historyLosses: number;
  /** Whether the store has returned the whole topic at least once. */
  hasBeenLoaded: boolean;
  /** The time up to which all records are known to have been read. */
  upToDateAt: number;
  isReachable: boolean;
  /**
   * When the first failed read since the last successful one began; undefined
   * after a success.
   */
  failingSince: number | undefined;
  /** When the node that reads most often last sent an update. */
  updatedAt: number;
  /** When the last outage of the store ended. */
  outageEndedAt: number;
}

/** Creates the state of a feed that was never read. */
export function createState(table: RecordTable): FeedState {
  return {
    table,
    listeners: new Set(),
    confirmAt: undefined,
    isLoaded: false,
    historyLosses: 0,
    hasBeenLoaded: false,
    upToDateAt: -Infinity,
    isReachable: false,
    failingSince: -Infinity,
    updatedAt: -Infinity,
    outageEndedAt: Infinity,
  };
}
