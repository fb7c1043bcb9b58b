/**
 * Tasks: long-running async functions with one owner.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "./clock.ts";
import type { Logger } from "./logger.ts";

/** The abort reason of tasks whose owner stops. */
export class StoppedError extends Error {
  override name = "StoppedError";
}

/** The body of a task: sequential code that runs until its signal aborts. */
export type TaskBody = (signal: AbortSignal) => Promise<void>;

/** The tasks of one service; they end together. */
export class TaskGroup {
  #clock: Clock;
  #logger: Logger;
  #controller = new AbortController();
  #tasks = new Set<Promise<void>>();

  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
    // Every wait of every task listens to this signal, so many listeners are
    // no sign of a leak.
    setMaxListeners(0, this.#controller.signal);
  }

  /** Aborted when the group stops. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** The number of tasks that have not ended. */
  get size(): number {
    return this.#tasks.size;
  }

  /** Runs a task once; a failure is logged and ends only that task. */
  run(name: string, body: TaskBody): Promise<void> {
    const task = this.#runAndLogFailure(name, body).finally(() => {
      this.#tasks.delete(task);
    });
    this.#tasks.add(task);
    return task;
  }

  /** Runs a task again `pauseMs` after it ends, until the group stops. */
  repeat(name: string, pauseMs: number, body: TaskBody): Promise<void> {
    return this.run(name, async (signal) => {
      while (!signal.aborted) {
        await this.#runAndLogFailure(name, body);
        await this.#clock.sleep(pauseMs, signal);
      }
    });
  }

  /** Aborts every task and waits until all have ended. */
  async stop(): Promise<void> {
    this.#controller.abort(new StoppedError("the service is stopping"));
    await Promise.allSettled([...this.#tasks]);
  }

  async #runAndLogFailure(name: string, body: TaskBody): Promise<void> {
    try {
      await body(this.signal);
    } catch (failure) {
      if (!this.signal.aborted) {
        this.#logger.error("task_failed", {
          task: name,
          error: describeError(failure),
        });
      }
    }
  }
}

/** Describes any thrown value in one line of text. */
export function describeError(failure: unknown): string {
  return failure instanceof Error
    ? `${failure.name}: ${failure.message}`
    : String(failure);
}
