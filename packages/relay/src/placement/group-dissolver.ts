/**
 * Ends groups, so that their members can join others.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { RelayKernel } from "../services.ts";
import { isMemberOf, type OrderSender } from "./order-sender.ts";
import type { ReplaceableGroups } from "./replaceable-groups.ts";

const POLL_INTERVAL_MS = 40;
/** Time for a group to finish its requests. */
const DRAIN_TIMEOUT_MS = 10_000;
/** Time for the store to show that a lead has left. */
const LEAVE_VISIBLE_TIMEOUT_MS = 1500;

/** Drains and dissolves groups. */
export class GroupDissolver {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #groups: Groups;
  #orderSender: OrderSender;
  #replaceableGroups: ReplaceableGroups;

  constructor(
    kernel: RelayKernel,
    orderSender: OrderSender,
    replaceableGroups: ReplaceableGroups,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#orderSender = orderSender;
    this.#replaceableGroups = replaceableGroups;
  }

  /** Lets a group finish its requests, then dissolves it. */
  async drain(
    group: Group,
    reason: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { name, epoch, lead } = group;
    if (lead === undefined) {
      return;
    }
    if (group.state === "open") {
      await this.#orderSender.send(
        lead.id,
        { kind: "close", group: name, epoch, isImmediate: false },
        ({ engine }) => engine.membership?.state !== "open",
        signal,
      );
    }
    const deadlineAt = this.#clock.now() + DRAIN_TIMEOUT_MS;
    const isServing = () => {
      const state = this.#groups.find(name, epoch)?.state;
      return state === "open" || state === "closing";
    };
    while (isServing() && this.#clock.now() < deadlineAt) {
      await this.#clock.sleep(POLL_INTERVAL_MS, signal);
    }
    await this.dissolve(group, reason, signal);
  }

  /**
   * Orders the lead to leave, so that no lead is open without its members when
   * they join other groups.
   */
  async dissolve(
    group: Group,
    reason: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { name, epoch, lead } = group;
    if (lead === undefined || this.#instances.find(lead.id) === undefined) {
      return;
    }
    await this.#orderSender.send(
      lead.id,
      { kind: "leave", group: name, epoch },
      ({ engine }) => !isMemberOf(engine.membership, name, epoch),
      signal,
    );
    this.#replaceableGroups.recordLeft(group);
    this.#logger.info("group_dissolved", {
      group: name,
      epoch,
      lead: lead.id,
      reason,
      state: group.state,
    });
    // The store shows the lead's departure with a delay.
    const deadlineAt = this.#clock.now() + LEAVE_VISIBLE_TIMEOUT_MS;
    while (
      this.#clock.now() < deadlineAt &&
      isMemberOf(
        this.#instances.find(lead.id)?.engine?.membership,
        name,
        epoch,
      )
    ) {
      await this.#clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }
}
