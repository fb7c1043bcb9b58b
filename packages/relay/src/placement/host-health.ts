/**
 * Which hosts did not answer lately, and which were seen to be slow.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Instances } from "../hosts/instances.ts";
import type { EngineReport, Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { OrderSender } from "./order-sender.ts";

/** A host that did not answer is asked again after this time. */
const MISSING_RETRY_MS = 1500;
/** An engine that is this many times slower than its profile is replaced. */
const SLOW_PACE = 2;
const SLOW_RETRY_MS = 6000;

/** Asks hosts and remembers what came of it, by process. */
export class HostHealth {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orders: OrderSender;
  #missingUntil = new Map<string, number>();
  #slowUntil = new Map<string, number>();

  constructor(kernel: RelayKernel, orders: OrderSender) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orders = orders;
  }

  /** Asks a host for its state and remembers if it is away or slow. */
  async probe(
    instance: Instance,
    signal: AbortSignal,
  ): Promise<EngineReport | undefined> {
    const report = await this.#orders.requestReport(instance, signal);
    if (report === undefined) {
      this.#noteMissing(instance);
    } else if (isSlowReport(report)) {
      this.#slowUntil.set(
        createProcessKey(instance),
        this.#clock.now() + SLOW_RETRY_MS,
      );
    }
    return report;
  }

  /** Asks all hosts that are listed. */
  async probeAll(ids: readonly string[], signal: AbortSignal): Promise<void> {
    const listed = ids.flatMap((id) => this.#instances.find(id) ?? []);
    await Promise.all(listed.map((instance) => this.probe(instance, signal)));
  }

  /** Whether a host did not answer lately. */
  isMissing(instance: Instance): boolean {
    return this.#isBefore(this.#missingUntil, instance);
  }

  /** Whether a host was seen to be slow lately. */
  isSlow(instance: Instance): boolean {
    return this.#isBefore(this.#slowUntil, instance);
  }

  dump(): unknown {
    return {
      missing: [...this.#missingUntil.keys()],
      slow: [...this.#slowUntil.keys()],
    };
  }

  #noteMissing(instance: Instance): void {
    if (!this.isMissing(instance)) {
      this.#logger.info("instance_missing", { instance: instance.id });
    }
    this.#missingUntil.set(
      createProcessKey(instance),
      this.#clock.now() + MISSING_RETRY_MS,
    );
  }

  #isBefore(limits: Map<string, number>, instance: Instance): boolean {
    const key = createProcessKey(instance);
    const until = limits.get(key);
    if (until !== undefined && this.#clock.now() >= until) {
      limits.delete(key);
      return false;
    }
    return until !== undefined;
  }
}

/** Whether an engine is much slower than its profile. */
export function isSlowReport({ timeFactor }: EngineReport): boolean {
  return timeFactor >= SLOW_PACE;
}

function createProcessKey({ id, bornAt }: Instance): string {
  return `${id}/${bornAt}`;
}
