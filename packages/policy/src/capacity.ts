/**
 * The share of the fleet's batch slots that one node may use.
 *
 * @module
 */

/** The load of a group as it last reported. */
export interface GroupReport {
  readonly group: string;
  readonly running: number;
  readonly waiting: number;
}

/** Slots of a group before any report shows how many it has. */
const INITIAL_SLOTS = 16;

/** Reports in a row with a queue that show the slots of a group. */
const QUEUED_REPORTS = 3;

interface Learned {
  slots: number;
  /** Running requests in the last reports, as long as all had a queue. */
  queued: number[];
}

/** Learns batch slots from reports and divides them among the live nodes. */
export class Capacity {
  #slots = new Map<string, Learned>();
  #limit = INITIAL_SLOTS;
  #total = 0;

  /** Requests that this node may have in flight. */
  get limit(): number {
    return this.#limit;
  }

  /** Batch slots of all groups, as far as they are known. */
  get totalSlots(): number {
    return this.#total;
  }

  /**
   * Takes the newest reports of the servable groups. Above its equal share, a node may use an equal
   * part of the slots that nobody uses, so that all callers may sit on one node
   * and yet no set of nodes takes more than is free. When groups have queues,
   * the nodes above their equal share give the excess back. Without any report
   * the limit is that of one group, so that a starting node can serve.
   */
  observe(
    reports: readonly GroupReport[],
    liveNodes: number,
    inFlight: number,
  ): void {
    let total = 0;
    let used = 0;
    const slots = new Map<string, Learned>();
    for (const report of reports) {
      const learned = this.#learn(report);
      slots.set(report.group, learned);
      total += learned.slots;
      used += report.running + report.waiting;
    }
    this.#slots = slots;
    this.#total = total;
    const nodes = Math.max(1, liveNodes);
    const free = total - used;
    this.#limit = total === 0
      ? INITIAL_SLOTS
      : Math.max(1, total / nodes, inFlight + free / nodes);
  }

  /**
   * A queue in several reports in a row shows the exact number. In one report it
   * does not: an engine takes in a burst of prompts over several steps.
   */
  #learn({ group, running, waiting }: GroupReport): Learned {
    const known = this.#slots.get(group) ??
      { slots: INITIAL_SLOTS, queued: [] };
    if (waiting === 0) {
      return { slots: Math.max(known.slots, running), queued: [] };
    }
    const queued = [...known.queued, running].slice(-QUEUED_REPORTS);
    const isExact = queued.length === QUEUED_REPORTS;
    const most = Math.max(1, ...queued);
    return {
      slots: isExact ? most : Math.max(known.slots, running),
      queued,
    };
  }
}
