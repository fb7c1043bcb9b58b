/**
 * How many of the callers' requests this node can take.
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
 * A window of a second: callers ask for addresses that often, so a shorter one
 * would not see what the last change did.
 */
const TICKS_PER_WINDOW = 20;
/**
 * A tick that comes later than this waited behind other work. On a day with
 * trouble, no node with half a core was late for half of a window.
 */
const LATE_MS = 25;
/** One long pause makes one tick late; a node that cannot keep up, most. */
const LATE_SHARE = 0.5;
const LOWERING_FACTOR = 0.5;
const RAISING_STEP = 0.05;
/** Enough that a recovered node is seen to have recovered. */
const MIN_SHARE = 0.05;

/**
 * Lowers this node's share of the callers while its event loop runs late, and
 * raises it again by steps.
 */
export class CapacityMonitor implements Service {
  #clock: Clock;
  #logger: Logger;
  #coreShare: number;
  #tasks: TaskGroup;
  #share = 1;
  #tickedAt = 0;
  #ticks = 0;
  #lateTicks = 0;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#coreShare = kernel.find("settings").node.coreShare;
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tickedAt = this.#clock.now();
    this.#tasks.repeat("measure_lateness", TICK_MS, () => {
      this.#tick();
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Share of a core that is free for callers, to compare with other nodes. */
  get capacity(): number {
    return this.#coreShare * this.#share;
  }

  dump(): unknown {
    return { coreShare: this.#coreShare, share: this.#share };
  }

  #tick(): void {
    const now = this.#clock.now();
    this.#lateTicks += Number(now - this.#tickedAt > TICK_MS + LATE_MS);
    this.#tickedAt = now;
    this.#ticks++;
    if (this.#ticks === TICKS_PER_WINDOW) {
      this.#endWindow();
    }
  }

  #endWindow(): void {
    const before = this.#share;
    const isLate = this.#lateTicks >= TICKS_PER_WINDOW * LATE_SHARE;
    this.#share = isLate
      ? Math.max(MIN_SHARE, before * LOWERING_FACTOR)
      : Math.min(1, before + RAISING_STEP);
    if (isLate || (before < 1 && this.#share === 1)) {
      this.#logger.info("intake_changed", {
        share: this.#share,
        before,
        late_ticks: this.#lateTicks,
        ticks: TICKS_PER_WINDOW,
      });
    }
    this.#ticks = 0;
    this.#lateTicks = 0;
  }
}
