/**
 * Share of the groups' batch slots that one node may use.
 *
 * @module
 */

/** Load of a group as of its last report. */
export interface GroupReport {
  readonly group: string;
  readonly running: number;
  readonly waiting: number;
}

/** Assumed slots of a group until reports show how many it has. */
const INITIAL_SLOTS = 16;

/** Consecutive reports with a queue after which the slots are known. */
const QUEUED_REPORTS = 3;

interface SlotEstimate {
  slots: number;
  /** Running requests in the latest consecutive reports with a queue. */
  runningWhileQueued: number[];
}

/** Estimates batch slots from reports and divides them among live nodes. */
export class Capacity {
  #slots = new Map<string, SlotEstimate>();
  #limit = INITIAL_SLOTS;
  #totalSlots = 0;

  /** Requests that this node may have in flight. */
  get limit(): number {
    return this.#limit;
  }

  /** Batch slots of all groups, as far as they are known. */
  get totalSlots(): number {
    return this.#totalSlots;
  }

  /**
   * Updates the limit from the latest reports of the servable groups. Above its
   * equal share, a node may use an equal part of the free slots, so that one
   * node can serve all callers and yet no set of nodes takes more slots than
   * are free. When groups have queues, the nodes above their equal share give
   * the excess back. Without any report the limit is that of one group, so that
   * a starting node can serve.
   */
  observe(
    reports: readonly GroupReport[],
    liveNodes: number,
    inFlight: number,
  ): void {
    let total = 0;
    let used = 0;
    const slots = new Map<string, SlotEstimate>();
    for (const report of reports) {
      const estimate = this.#estimateSlots(report);
      slots.set(report.group, estimate);
      total += estimate.slots;
      used += report.running + report.waiting;
    }
    this.#slots = slots;
    this.#totalSlots = total;
    const nodeCount = Math.max(1, liveNodes);
    const free = total - used;
    this.#limit = total === 0
      ? INITIAL_SLOTS
      : Math.max(1, total / nodeCount, inFlight + free / nodeCount);
  }

  /**
   * A queue in several consecutive reports shows the exact number of slots. One
   * report does not: an engine admits a burst of prompts over several steps.
   */
  #estimateSlots({ group, running, waiting }: GroupReport): SlotEstimate {
    const previous = this.#slots.get(group) ??
      { slots: INITIAL_SLOTS, runningWhileQueued: [] };
    if (waiting === 0) {
      return {
        slots: Math.max(previous.slots, running),
        runningWhileQueued: [],
      };
    }
    const runningWhileQueued = [...previous.runningWhileQueued, running].slice(
      -QUEUED_REPORTS,
    );
    const isExact = runningWhileQueued.length === QUEUED_REPORTS;
    const maxRunning = Math.max(1, ...runningWhileQueued);
    return {
      slots: isExact ? maxRunning : Math.max(previous.slots, running),
      runningWhileQueued,
    };
  }
}
