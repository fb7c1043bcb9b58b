/**
 * Hosts that recently did not answer, and hosts that were recently slow.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Result } from "true-myth";
import type { Instances } from "../hosts/instances.ts";
import {
  createProcessKey,
  type EngineReport,
  type Instance,
} from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import type { MissingCause, OrderSender } from "./order-sender.ts";

/** A host that did not answer is tried again after this time, by the cause. */
const RETRY_DELAYS_MS: Readonly<Record<MissingCause, number>> = {
  silent: 1500,
  // It never answers again, and is listed until its entry expires: after three
  // heartbeats, of 1.2 s in the users' deployments, or the end of an outage.
  ended: 10_000,
};
/** An engine that is slower than its profile by this factor is replaced. */
const SLOW_TIME_FACTOR = 2;
const SLOW_RETRY_MS = 6000;

/** Probes hosts and keeps the results by process. */
export class HostHealth {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orderSender: OrderSender;
  #missingUntil = new Map<string, number>();
  #slowUntil = new Map<string, number>();

  constructor(kernel: RelayKernel, orderSender: OrderSender) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orderSender = orderSender;
  }

  /** Requests the report of a host and records if it is missing or slow. */
  async probe(
    instance: Instance,
    signal: AbortSignal,
  ): Promise<Result<EngineReport, MissingCause>> {
    const report = await this.#orderSender.requestReport(instance, signal);
    if (report.isErr) {
      this.#markMissing(instance, report.error);
    } else if (isSlowReport(report.value)) {
      this.#slowUntil.set(
        createProcessKey(instance),
        this.#clock.now() + SLOW_RETRY_MS,
      );
    }
    return report;
  }

  /** Probes those hosts that are still listed. */
  async probeAll(ids: readonly string[], signal: AbortSignal): Promise<void> {
    const listed = ids.flatMap((id) => this.#instances.find(id) ?? []);
    await Promise.all(listed.map((instance) => this.probe(instance, signal)));
  }

  /** Whether a host recently did not answer. */
  isMissing(instance: Instance): boolean {
    return this.#hasUnexpiredEntry(this.#missingUntil, instance);
  }

  /** Whether a host was recently slow. */
  isSlow(instance: Instance): boolean {
    return this.#hasUnexpiredEntry(this.#slowUntil, instance);
  }

  dump(): unknown {
    return {
      missing: [...this.#missingUntil.keys()],
      slow: [...this.#slowUntil.keys()],
    };
  }

  #markMissing(instance: Instance, cause: MissingCause): void {
    if (!this.isMissing(instance)) {
      this.#logger.info("instance_missing", { instance: instance.id, cause });
    }
    this.#missingUntil.set(
      createProcessKey(instance),
      this.#clock.now() + RETRY_DELAYS_MS[cause],
    );
  }

  #hasUnexpiredEntry(
    expiries: Map<string, number>,
    instance: Instance,
  ): boolean {
    const key = createProcessKey(instance);
    const expiresAt = expiries.get(key);
    if (expiresAt !== undefined && this.#clock.now() >= expiresAt) {
      expiries.delete(key);
      return false;
    }
    return expiresAt !== undefined;
  }
}

/** Whether an engine is much slower than its profile. */
export function isSlowReport({ timeFactor }: EngineReport): boolean {
  return timeFactor >= SLOW_TIME_FACTOR;
}
