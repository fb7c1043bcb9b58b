/**
 * Stages weights on spares.
 *
 * @module
 */
import { type Clock, describeError, type Logger } from "@zinniahill/kernel";
import type { Staging } from "@zinniahill/policy";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile } from "../model/configuration.ts";
import type { RelayKernel } from "../services.ts";
import type { WeightLoadLimiter } from "./weight-load-limiter.ts";
import type { OrderSender } from "./order-sender.ts";

const POLL_INTERVAL_MS = 500;
/** Concurrent loads slow each other down. */
const LOAD_TIMEOUT_FACTOR = 2;

/** Stages weights, on each host one model at a time. */
export class WeightStager {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orderSender: OrderSender;
  #loadLimiter: WeightLoadLimiter;
  /** Hosts whose staging is in progress or waits for permission to load. */
  #requestedHosts = new Set<string>();
  /** Models whose staging is in progress, by host. */
  #activeStagings = new Map<string, string>();

  constructor(
    kernel: RelayKernel,
    orderSender: OrderSender,
    loadLimiter: WeightLoadLimiter,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orderSender = orderSender;
    this.#loadLimiter = loadLimiter;
  }

  /** Finds the model that is being staged on a host. */
  findStagingModel(host: string): string | undefined {
    return this.#activeStagings.get(host);
  }

  /** Whether a staging of the host is in progress or waits. */
  hasStaging(host: string): boolean {
    return this.#requestedHosts.has(host);
  }

  dump(): unknown {
    return Object.fromEntries(this.#activeStagings);
  }

  /** Stages weights on a host, unless it is busy when the load is permitted. */
  async stage(
    engine: EngineProfile,
    staging: Staging,
    isBusy: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { host, model, loadPriority } = staging;
    this.#requestedHosts.add(host);
    let release = () => {};
    try {
      release = await this.#loadLimiter.acquire(engine, loadPriority, signal);
      if (!isBusy()) {
        this.#activeStagings.set(host, model);
        await this.#loadWeights(engine, staging, signal);
      }
    } catch (failure) {
      this.#logger.warn("staging_failed", {
        instance: host,
        model,
        error: describeError(failure),
      });
    } finally {
      release();
      this.#activeStagings.delete(host);
      this.#requestedHosts.delete(host);
    }
  }

  /** Sends the order and waits until the weights are staged or the host gone. */
  async #loadWeights(
    engine: EngineProfile,
    { host, model }: Staging,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#orderSender.send(
      host,
      { kind: "stage", model },
      (report) => report.engine.staged.includes(model),
      signal,
    );
    const { loadMs = 0 } = engine.models.find(({ name }) => name === model) ??
      {};
    const deadlineAt = this.#clock.now() + loadMs * LOAD_TIMEOUT_FACTOR;
    const isDone = () => {
      const staged = this.#instances.find(host)?.engine?.staged;
      return staged === undefined || staged.includes(model);
    };
    while (!isDone() && this.#clock.now() < deadlineAt) {
      await this.#clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }
}
