/**
 * The attempts of one request that run at the same time.
 *
 * @module
 */
import type { Fault } from "@zinniahill/clients";
import type { GroupState } from "@zinniahill/schema";

/** How one attempt ended. */
export interface AttemptEnd {
  readonly group: GroupState;
  readonly fault: Fault;
  /** Whether it was aborted because another attempt continued the answer. */
  readonly isSuperseded: boolean;
}

/** Runs one attempt until it ends or `signal` aborts. */
export type AttemptTask = (
  group: GroupState,
  signal: AbortSignal,
) => Promise<Fault>;

const SUPERSEDED = new Error("another attempt has continued the answer");

/**
 * An attempt on a group in doubt, and the one that may replace it. Neither ends
 * before the other has continued the answer, as the group may only be silent
 * for a moment and the replacement may fail.
 */
export class AttemptRace {
  /** Groups on which an attempt was begun. */
  readonly groups = new Set<string>();
  #run: AttemptTask;
  #running = new Map<string, AbortController>();
  #tasks: Promise<void>[] = [];
  #ends: AttemptEnd[] = [];

  constructor(run: AttemptTask) {
    this.#run = run;
  }

  /** Whether more than one attempt runs. */
  get isReplacing(): boolean {
    return this.#running.size > 1;
  }

  /** Begins an attempt on a group that has had none. */
  begin(group: GroupState): void {
    const controller = new AbortController();
    this.groups.add(group.group);
    this.#running.set(group.group, controller);
    this.#tasks.push(this.#follow(group, controller.signal));
  }

  /** Ends the other attempts, as the one on `winner` has continued the answer. */
  supersedeOthers(winner: string): void {
    if (!this.isReplacing || this.#running.get(winner)?.signal.aborted) {
      return;
    }
    for (const [group, controller] of this.#running) {
      if (group !== winner) {
        controller.abort(SUPERSEDED);
      }
    }
  }

  /** Waits for all attempts; lists their ends, the last one last. */
  async finish(): Promise<readonly AttemptEnd[]> {
    // A replacement that begins meanwhile is added to the list.
    for (const task of this.#tasks) {
      await task;
    }
    return this.#ends;
  }

  async #follow(group: GroupState, signal: AbortSignal): Promise<void> {
    const fault = await this.#run(group, signal);
    this.#running.delete(group.group);
    this.#ends.push({ group, fault, isSuperseded: signal.aborted });
  }
}
