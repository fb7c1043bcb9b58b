/**
 * Ends groups, so that their members may join others.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { RelayKernel } from "../services.ts";
import { isMemberOf, type OrderSender } from "./order-sender.ts";

const POLL_MS = 40;
/** Longest time that a group with a leaving member may take to finish. */
const CLOSE_WAIT_MS = 10_000;
/** Time for the store to show that a lead has left. */
const LEAVE_SHOWN_MS = 1500;

/** Drains and dissolves groups. */
export class GroupDissolver {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #groups: Groups;
  #orders: OrderSender;

  constructor(kernel: RelayKernel, orders: OrderSender) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#orders = orders;
  }

  /** Lets a group with a leaving member finish, then frees the others. */
  async drain(group: Group, signal: AbortSignal): Promise<void> {
    const { name, epoch, lead } = group;
    if (lead === undefined) {
      return;
    }
    if (group.state === "open") {
      await this.#orders.send(
        lead.id,
        { kind: "close", group: name, epoch, isImmediate: false },
        ({ engine }) => engine.membership?.state !== "open",
        signal,
      );
    }
    const until = this.#clock.now() + CLOSE_WAIT_MS;
    const isServing = () => {
      const state = this.#groups.find(name, epoch)?.state;
      return state === "open" || state === "closing";
    };
    while (isServing() && this.#clock.now() < until) {
      await this.#clock.sleep(POLL_MS, signal);
    }
    await this.dissolve(group, "a member leaves", signal);
  }

  /**
   * Takes the lead out of its group, so that no other member can be missed by
   * an open lead when it joins elsewhere.
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
    await this.#orders.send(
      lead.id,
      { kind: "leave", group: name, epoch },
      ({ engine }) => !isMemberOf(engine.membership, name, epoch),
      signal,
    );
    this.#logger.info("group_dissolved", {
      group: name,
      epoch,
      lead: lead.id,
      reason,
      state: group.state,
    });
    // The store shows the lead's leaving a moment later.
    const until = this.#clock.now() + LEAVE_SHOWN_MS;
    while (
      this.#clock.now() < until &&
      isMemberOf(
        this.#instances.find(lead.id)?.engine?.membership,
        name,
        epoch,
      )
    ) {
      await this.#clock.sleep(POLL_MS, signal);
    }
  }
}
