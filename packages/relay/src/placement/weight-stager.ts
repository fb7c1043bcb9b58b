/**
 * Loads weights onto the hosts of spares.
 *
 * @module
 */
import { type Clock, describeError, type Logger } from "@zinniahill/kernel";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile } from "../model/configuration.ts";
import type { RelayKernel } from "../services.ts";
import type { WeightLoadLimiter } from "./weight-load-limiter.ts";
import type { OrderSender } from "./order-sender.ts";
import type { Staging } from "./plan.ts";

const POLL_MS = 500;
/** Several loads at once take longer than one. */
const LOAD_TIMEOUT_FACTOR = 2;

/** Carries out stagings, one for each host at a time. */
export class WeightStager {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orders: OrderSender;
  #loads: WeightLoadLimiter;
  /** Hosts whose staging has begun or waits for permission to load. */
  #requested = new Set<string>();
  /** Models whose staging has begun, by host. */
  #begun = new Map<string, string>();

  constructor(
    kernel: RelayKernel,
    orders: OrderSender,
    loads: WeightLoadLimiter,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orders = orders;
    this.#loads = loads;
  }

  /** The model that a host is staging now. */
  find(host: string): string | undefined {
    return this.#begun.get(host);
  }

  /** Whether a staging of the host has begun or waits. */
  has(host: string): boolean {
    return this.#requested.has(host);
  }

  dump(): unknown {
    return Object.fromEntries(this.#begun);
  }

  /** Stages weights on a host, unless it is busy once it may load. */
  async stage(
    engine: EngineProfile,
    staging: Staging,
    isBusy: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { host, model, loadPriority } = staging;
    this.#requested.add(host);
    let release = () => {};
    try {
      release = await this.#loads.acquire(engine, loadPriority, signal);
      if (!isBusy()) {
        this.#begun.set(host, model);
        await this.#load(engine, staging, signal);
      }
    } catch (failure) {
      this.#logger.warn("staging_failed", {
        instance: host,
        model,
        error: describeError(failure),
      });
    } finally {
      release();
      this.#begun.delete(host);
      this.#requested.delete(host);
    }
  }

  /** Gives the order and waits until the weights are there or the host gone. */
  async #load(
    engine: EngineProfile,
    { host, model }: Staging,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#orders.send(
      host,
      { kind: "stage", model },
      (report) => report.engine.staged.includes(model),
      signal,
    );
    const { loadMs = 0 } = engine.models.find(({ name }) => name === model) ??
      {};
    const until = this.#clock.now() + loadMs * LOAD_TIMEOUT_FACTOR;
    const isDone = () => {
      const staged = this.#instances.find(host)?.engine?.staged;
      return staged === undefined || staged.includes(model);
    };
    while (!isDone() && this.#clock.now() < until) {
      await this.#clock.sleep(POLL_MS, signal);
    }
  }
}
