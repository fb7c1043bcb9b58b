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

/** Learns batch slots from reports and divides them among the live nodes. */
export class Capacity {
  #slots = new Map<string, number>();
  #limit = INITIAL_SLOTS;
  #total = 0;

  /** Requests that this node may have in flight. */
  get limit(): number {
    return this.#limit;
  }

  /** Batch slots of all groups, as far as they are known. */
  get total(): number {
    return this.#total;
  }

  /**
   * Takes the newest reports of the servable groups. A group with a queue shows
   * its exact number of slots. Above its equal share, a node may use an equal
   * part of the slots that nobody uses, so that all callers may sit on one node
   * and yet no set of nodes takes more than is free. When groups have queues,
   * the nodes above their equal share give the excess back.
   */
  observe(
    reports: readonly GroupReport[],
    liveNodes: number,
    inFlight: number,
  ): void {
    let total = 0;
    let used = 0;
    const slots = new Map<string, number>();
    for (const report of reports) {
      const learned = this.#learn(report);
      slots.set(report.group, learned);
      total += learned;
      used += report.running + report.waiting;
    }
    this.#slots = slots;
    this.#total = total;
    const nodes = Math.max(1, liveNodes);
    const free = total - used;
    this.#limit = Math.max(1, total / nodes, inFlight + free / nodes);
  }

  #learn({ group, running, waiting }: GroupReport): number {
    const known = this.#slots.get(group) ?? INITIAL_SLOTS;
    return waiting > 0 && running > 0 ? running : Math.max(known, running);
  }
}
