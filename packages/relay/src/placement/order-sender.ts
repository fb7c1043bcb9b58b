/**
 * Sends orders to engines: fenced, conditional, and verified if unanswered.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import { Result } from "true-myth";
import type { Instances } from "../hosts/instances.ts";
import type { EngineReport, Instance, Membership } from "../model/instance.ts";
import type { Order, OrderReply } from "../model/order.ts";
import type { EngineControl } from "../adapter.ts";
import type { RelayMetrics } from "../relay-metrics.ts";
import type { RelayKernel } from "../services.ts";
import type { HolderElector } from "./holder-elector.ts";
import type { OccupiedHosts } from "./occupied-hosts.ts";
import { OrderCounts } from "./order-counts.ts";
import type { ReplaceableGroups } from "./replaceable-groups.ts";

/** A group cannot be formed or dissolved, or weights cannot be staged. */
export class PlacementError extends Error {
  override name = "PlacementError";
}

/**
 * Why a process sends no report: it has ended, or it is silent, which a sound
 * one may be for a second.
 */
export type MissingCause = "ended" | "silent";

/** A host that is up answers within a few milliseconds. */
const REPLY_TIMEOUT_MS = 200;
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 50;
/** Age of the values in a report, in the users' deployments. */
const REPORT_LAG_MS = 200;

type MembershipCheck = (
  reported: Membership,
  listed: Membership | undefined,
  replaceableGroups: ReplaceableGroups,
) => boolean;

/**
 * Whether a member of a group may carry out an order that was planned by the
 * list, by the kind of order. Orders of other kinds name the group themselves.
 */
const MEMBERSHIP_CHECKS: Readonly<
  Record<Order["kind"], MembershipCheck | undefined>
> = {
  join: (reported, _listed, groups) => groups.includes(reported),
  stage: (reported, listed, groups) =>
    isMemberOf(listed, reported.group, reported.epoch) ||
    groups.includes(reported),
  open: undefined,
  close: undefined,
  leave: undefined,
};

/** What tells whether a host may be ordered into another group. */
export interface MembershipSources {
  readonly replaceableGroups: ReplaceableGroups;
  readonly occupiedHosts: OccupiedHosts;
}

/** Sends orders while this node holds placement. */
export class OrderSender {
  #clock: Clock;
  #logger: Logger;
  #engines: EngineControl;
  #elector: HolderElector;
  #instances: Instances;
  #metrics: RelayMetrics;
  #memberships: MembershipSources;
  #orderCounts = new OrderCounts();

  constructor(kernel: RelayKernel, memberships: MembershipSources) {
    this.#memberships = memberships;
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#elector = kernel.find("holder");
    this.#instances = kernel.find("instances");
    this.#metrics = kernel.find("metrics");
  }

  /** Requests a report; the error says why the listed process has sent none. */
  async requestReport(
    instance: Instance,
    signal: AbortSignal,
  ): Promise<Result<EngineReport, MissingCause>> {
    let cause: MissingCause = "silent";
    for (let attempt = 1; attempt <= MAX_ATTEMPTS - 1; attempt++) {
      const report = await this.#engines.requestReport(
        instance,
        REPLY_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (report.isOk) {
        return isSameProcess(instance, report.value)
          ? Result.ok(report.value)
          : Result.err("ended");
      }
      cause = report.error.isGone === true ? "ended" : "silent";
      this.#logger.info("report_failed", {
        instance: instance.id,
        error: report.error.message,
      });
    }
    return Result.err(cause);
  }

  /**
   * Sends an order until the engine accepts it or `isDone` holds for its
   * report. An order without a reply may be carried out later. So a report is
   * requested before each retry, and the engine accepts a retry only if it has
   * carried out no order in between.
   *
   * An order for a host that the list shows as free bears this condition from
   * the first attempt on: the list may be outdated, and the report says whether
   * the host belongs to a group.
   */
  async send(
    id: string,
    order: Order,
    isDone: (report: EngineReport) => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const isMembershipChecked = MEMBERSHIP_CHECKS[order.kind] !== undefined;
    let orderCount: number | undefined;
    if (isMembershipChecked) {
      const report = await this.#requireReport(id, signal);
      orderCount = this.#checkMembership(id, order, report);
    }
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const reply = await this.#sendOnce(id, order, orderCount, signal);
      if (reply === "accepted" || reply === "done") {
        return;
      }
      if (reply === "fenced") {
        await this.#throwFenced(id, order, signal);
      }
      const isOutdated = reply === "conflict" && isMembershipChecked;
      await this.#clock.sleep(
        isOutdated ? REPORT_LAG_MS : RETRY_DELAY_MS,
        signal,
      );
      const report = await this.#requireReport(id, signal);
      if (isDone(report)) {
        return;
      }
      orderCount = this.#checkMembership(id, order, report);
    }
    throw new PlacementError(
      `${id} did not carry out the order: ${order.kind}`,
    );
  }

  async #requireReport(
    id: string,
    signal: AbortSignal,
  ): Promise<EngineReport> {
    const report = await this.requestReport(this.#findInstance(id), signal);
    if (report.isErr) {
      throw new PlacementError(`${id} did not answer`);
    }
    return report.value;
  }

  /**
   * Returns the order count of a host; throws if it belongs to a group in which
   * it may not carry out the order.
   */
  #checkMembership(id: string, order: Order, report: EngineReport): number {
    const { replaceableGroups, occupiedHosts } = this.#memberships;
    const instance = this.#findInstance(id);
    const listed = instance.engine?.membership;
    const { membership } = report.engine;
    const check = MEMBERSHIP_CHECKS[order.kind];
    if (
      membership !== undefined &&
      check?.(membership, listed, replaceableGroups) === false
    ) {
      occupiedHosts.record(instance, membership);
      throw new PlacementError(`${id} is a member of ${membership.group}`);
    }
    return this.#orderCounts.recordReport(instance, report);
  }

  /** A join is refused as well if a later one has overtaken it. */
  async #throwFenced(
    id: string,
    order: Order,
    signal: AbortSignal,
  ): Promise<never> {
    if (order.kind === "join") {
      const report = await this.requestReport(this.#findInstance(id), signal);
      const membership = report.unwrapOr(undefined)?.engine.membership;
      if (membership !== undefined && membership.epoch > order.epoch) {
        throw new PlacementError(`${id} has joined a later group`);
      }
    }
    this.#elector.stepDown();
    throw new PlacementError(`${id} has seen a later fencing number`);
  }

  #findInstance(id: string): Instance {
    const instance = this.#instances.find(id);
    if (instance === undefined) {
      throw new PlacementError(`${id} is not listed`);
    }
    return instance;
  }

  async #sendOnce(
    id: string,
    order: Order,
    orderCount: number | undefined,
    signal: AbortSignal,
  ): Promise<OrderReply | "no-reply"> {
    if (!this.#elector.isHolder) {
      throw new PlacementError("this node no longer holds placement");
    }
    const { fence } = this.#elector;
    const instance = this.#findInstance(id);
    const reply = await this.#engines.sendOrder(
      instance,
      order,
      { fence, orderCount },
      REPLY_TIMEOUT_MS,
      signal,
    );
    signal.throwIfAborted();
    const outcome = reply.isOk ? reply.value : "no-reply";
    this.#metrics.recordOrder(order.kind, outcome);
    // An engine that has left a group answers that the order is done.
    if (
      outcome === "accepted" || outcome === "done" && order.kind === "leave"
    ) {
      this.#orderCounts.recordAccepted(instance);
    } else if (outcome === "conflict") {
      this.#orderCounts.recordConflict(instance);
    }
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

/** Whether a membership is in the group of that name and epoch. */
export function isMemberOf(
  membership: Membership | undefined,
  group: string,
  epoch: number,
): boolean {
  return membership?.group === group && membership.epoch === epoch;
}
