/**
 * Measures how much capacity this node can offer to callers.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { RelayKernel } from "../services.ts";

const TICK_MS = 50;
/**
 * Windows of 1 s: callers look up addresses that often, so a shorter window
 * would not show the effect of the last change.
 */
const TICKS_PER_WINDOW = 20;
/**
 * A tick that is later than this has waited behind other work. On a day with
 * failures, no node with half a core was late for half of a window.
 */
const LATE_TICK_MS = 25;
/** One long pause delays one tick; a node that cannot keep up delays most. */
const LATE_TICK_SHARE = 0.5;
const DECREASE_FACTOR = 0.5;
const INCREASE_STEP = 0.05;
/** Leaves enough callers to detect that the node has recovered. */
const MIN_CALLER_SHARE = 0.05;

/**
 * Lowers this node's share of callers while its event loop runs late, and
 * raises it step by step once it keeps up.
 */
export class CapacityMonitor implements Service {
  #clock: Clock;
  #logger: Logger;
  #coreShare: number;
  #tasks: TaskGroup;
  #callerShare = 1;
  #lastTickAt = 0;
  #ticks = 0;
  #lateTicks = 0;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#coreShare = kernel.find("settings").node.coreShare;
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#lastTickAt = this.#clock.now();
    this.#tasks.repeat("measure_lateness", TICK_MS, () => {
      this.#tick();
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /**
   * Share of a CPU core that is available to callers; comparable across nodes.
   */
  get capacity(): number {
    return this.#coreShare * this.#callerShare;
  }

  dump(): unknown {
    return { coreShare: this.#coreShare, share: this.#callerShare };
  }

  #tick(): void {
    const now = this.#clock.now();
    this.#lateTicks += Number(now - this.#lastTickAt > TICK_MS + LATE_TICK_MS);
    this.#lastTickAt = now;
    this.#ticks++;
    if (this.#ticks === TICKS_PER_WINDOW) {
      this.#endWindow();
    }
  }

  #endWindow(): void {
    const before = this.#callerShare;
    const isLate = this.#lateTicks >= TICKS_PER_WINDOW * LATE_TICK_SHARE;
    this.#callerShare = isLate
      ? Math.max(MIN_CALLER_SHARE, before * DECREASE_FACTOR)
      : Math.min(1, before + INCREASE_STEP);
    if (isLate || (before < 1 && this.#callerShare === 1)) {
      this.#logger.info("intake_changed", {
        share: this.#callerShare,
        before,
        late_ticks: this.#lateTicks,
        ticks: TICKS_PER_WINDOW,
      });
    }
    this.#ticks = 0;
    this.#lateTicks = 0;
  }
}
