/**
 * Reports of limits that were applied to callers.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import type { CallerServices } from "./caller-services.ts";

/** The limits on what callers may take of a process. */
export type AppliedLimit =
  | "answers"
  | "connections"
  | "endpoint-connections"
  | "incomplete-requests"
  | "peer-connections"
  | "queued-requests"
  | "tiny-chunks";

/** To whom a limit was applied, and by how much. */
export type AppliedFields = Readonly<Record<string, string | number>>;

/** A crowd of callers meets a limit more often than a log can hold. */
const LOG_INTERVAL_MS = 1000;

/** Counts each limit, and logs one line in each interval at most. */
export class AppliedLimits implements Service {
  #clock: Clock;
  #logger: Logger;
  #metrics: { recordLimit(limit: AppliedLimit): void };
  #states = new Map<AppliedLimit, { times: number; loggedAt: number }>();

  constructor(kernel: CallerServices) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#metrics = kernel.find("metrics");
  }

  dump(): unknown {
    return Object.fromEntries(this.#states);
  }

  /** Reports that a limit was applied to one caller. */
  record(limit: AppliedLimit, fields: AppliedFields): void {
    this.#metrics.recordLimit(limit);
    const now = this.#clock.now();
    const state = this.#states.get(limit) ?? { times: 0, loggedAt: -Infinity };
    this.#states.set(limit, state);
    state.times++;
    if (now - state.loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    // The caller is the last one of these times.
    this.#logger.warn("limit_applied", {
      limit,
      times: state.times,
      ...fields,
    });
    state.times = 0;
    state.loggedAt = now;
  }
}
