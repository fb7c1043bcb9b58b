/**
 * Finds out whether upstream processes have ended that the store still lists.
 *
 * Their entries expire after some seconds. A node that loses a connection to
 * one, or is refused it, requests its report: that nothing, or another process,
 * answers at its address proves the end.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import type { EngineControl } from "../adapter.ts";
import { createProcessKey, type Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";

/** Called when a process is found to have ended. */
export type EndListener = (instance: Instance) => void;

/** An upstream that is up answers within a few ms, across regions in 40. */
const REPORT_TIMEOUT_MS = 150;
/**
 * The connections of a killed process may end before its port does. A call that
 * fails sooner than by its time-out is repeated after this time.
 */
const CONFIRMATION_DELAY_MS = 25;

/** Examines upstream processes whose connections broke. */
export class ProcessExaminer implements Service {
  #clock: Clock;
  #logger: Logger;
  #engines: EngineControl;
  /** Examinations in progress, by process. */
  #examinations = new Map<string, Promise<boolean | undefined>>();
  #listeners = new Set<EndListener>();
  #stopped = new AbortController();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Registers a listener for processes that have ended. */
  onEnded(listener: EndListener): void {
    this.#listeners.add(listener);
  }

  /** Whether the process has ended; undefined if that is not known. */
  examine(instance: Instance): Promise<boolean | undefined> {
    const key = createProcessKey(instance);
    const current = this.#examinations.get(key);
    if (current !== undefined) {
      return current;
    }
    const examination = this.#examine(instance)
      .finally(() => this.#examinations.delete(key));
    this.#examinations.set(key, examination);
    return examination;
  }

  /**
   * Whether a process has ended by now. An examination that began before says
   * nothing of what happened since, so it is not shared.
   */
  async hasEndedByNow(instance: Instance): Promise<boolean> {
    await this.#examinations.get(createProcessKey(instance));
    const startedAt = this.#clock.now();
    const hasEnded = await this.examine(instance);
    if (
      hasEnded === undefined &&
      this.#clock.now() - startedAt < REPORT_TIMEOUT_MS
    ) {
      await this.#clock.sleep(CONFIRMATION_DELAY_MS, this.#stopped.signal);
      return await this.examine(instance) === true;
    }
    return hasEnded === true;
  }

  dump(): unknown {
    return [...this.#examinations.keys()];
  }

  async #examine(instance: Instance): Promise<boolean | undefined> {
    const hasEnded = await this.#hasEnded(instance);
    this.#logger.info("upstream_examined", {
      instance: instance.id,
      has_ended: hasEnded ?? "unknown",
    });
    if (hasEnded === true) {
      this.#listeners.forEach((listener) => listener(instance));
    }
    return hasEnded;
  }

  async #hasEnded(instance: Instance): Promise<boolean | undefined> {
    const report = await this.#engines.requestReport(
      instance,
      REPORT_TIMEOUT_MS,
      this.#stopped.signal,
    );
    return report.match({
      Ok: ({ bornAt }) => bornAt !== undefined && bornAt !== instance.bornAt,
      Err: ({ isGone }) => isGone === true ? true : undefined,
    });
  }
}
