/**
 * Orders to engines: fenced, conditional, and read back when unanswered.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Instances } from "../hosts/instances.ts";
import type { EngineReport, Instance, Membership } from "../model/instance.ts";
import type { Order, OrderReply } from "../model/order.ts";
import type { EngineControl } from "../adapter.ts";
import type { RelayMetrics } from "../relay-metrics.ts";
import type { RelayKernel } from "../services.ts";
import type { HolderElector } from "./holder-elector.ts";

/** A formation or dissolution cannot go on. */
export class PlacementError extends Error {
  override name = "PlacementError";
}

/** A report or an order is answered within some ms, or the host is away. */
const REPLY_TIMEOUT_MS = 200;
const ATTEMPTS = 3;
const REPEAT_PAUSE_MS = 50;

/** Gives orders in the name of the node that holds placement. */
export class OrderSender {
  #clock: Clock;
  #logger: Logger;
  #engines: EngineControl;
  #holder: HolderElector;
  #instances: Instances;
  #metrics: RelayMetrics;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#holder = kernel.find("holder");
    this.#instances = kernel.find("instances");
    this.#metrics = kernel.find("metrics");
  }

  /** Asks an instance for its state; undefined when it does not answer. */
  async requestReport(
    instance: Instance,
    signal: AbortSignal,
  ): Promise<EngineReport | undefined> {
    for (let attempt = 1; attempt <= ATTEMPTS - 1; attempt++) {
      const report = await this.#engines.requestReport(
        instance,
        REPLY_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (report.isOk) {
        return isSameProcess(instance, report.value) ? report.value : undefined;
      }
      this.#logger.info("report_failed", {
        instance: instance.id,
        error: report.error.message,
      });
    }
    return undefined;
  }

  /**
   * Gives an order until `isDone` holds of the instance. An order without a
   * reply may be carried out later, so the state is read before a repeat, and
   * a repeat is accepted only if no order was carried out in between. A first
   * order needs no such condition: its epoch is newer than all others.
   */
  async send(
    id: string,
    order: Order,
    isDone: (report: EngineReport) => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    let orderCount: number | undefined;
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const reply = await this.#sendOnce(id, order, orderCount, signal);
      if (reply === "accepted" || reply === "done") {
        return;
      }
      if (reply === "fenced") {
        this.#holder.loseToFence();
        throw new PlacementError(`${id} has seen a later fencing number`);
      }
      const report = await this.requestReport(this.#find(id), signal);
      if (report === undefined) {
        throw new PlacementError(`${id} does not answer`);
      }
      if (isDone(report)) {
        return;
      }
      orderCount = report.orderCount;
      await this.#clock.sleep(REPEAT_PAUSE_MS, signal);
    }
    throw new PlacementError(`${id} did not carry out ${order.kind}`);
  }

  #find(id: string): Instance {
    const instance = this.#instances.find(id);
    if (instance === undefined) {
      throw new PlacementError(`${id} is gone`);
    }
    return instance;
  }

  async #sendOnce(
    id: string,
    order: Order,
    orderCount: number | undefined,
    signal: AbortSignal,
  ): Promise<OrderReply | "no-reply"> {
    if (!this.#holder.isHolder) {
      throw new PlacementError("this node no longer holds placement");
    }
    const { fence } = this.#holder;
    const reply = await this.#engines.sendOrder(
      this.#find(id),
      order,
      { fence, orderCount },
      REPLY_TIMEOUT_MS,
      signal,
    );
    signal.throwIfAborted();
    const outcome = reply.isOk ? reply.value : "no-reply";
    this.#metrics.recordOrder(order.kind, outcome);
    this.#logger.info("order_given", {
      instance: id,
      order: order.kind,
      group: "group" in order ? order.group : undefined,
      model: "model" in order ? order.model : undefined,
      fence,
      order_count: orderCount,
      outcome,
      error: reply.isErr ? reply.error.message : undefined,
    });
    return outcome;
  }
}

/** Whether a report comes from the process that the store lists. */
export function isSameProcess(
  instance: Instance,
  report: EngineReport,
): boolean {
  return report.bornAt === undefined || report.bornAt === instance.bornAt;
}

/** Whether a member belongs to a group of that name and epoch. */
export function isMemberOf(
  membership: Membership | undefined,
  group: string,
  epoch: number,
): boolean {
  return membership?.group === group && membership.epoch === epoch;
}
