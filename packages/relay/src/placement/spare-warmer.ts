/**
 * Loads the weights that spares have staged into their memory.
 *
 * An engine loads weights only when it joins a group, and keeps those of its
 * last one. So a spare joins a group of its own, which never opens, and leaves
 * it once it is ready. A formation may order it to join another group meanwhile.
 *
 * @module
 */
import {
  type Clock,
  describeError,
  type Logger,
  withDeadline,
} from "@zinniahill/kernel";
import { createWarmingName } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { ModelProfile } from "../model/configuration.ts";
import {
  createProcessKey,
  type Instance,
  type Membership,
} from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import { isMemberOf, type OrderSender } from "./order-sender.ts";

const JOIN_TIMEOUT_MS = 3000;
/** Orders are priced, and a spare that fails once mostly fails again. */
const RETRY_DELAY_MS = 10_000;

/** Time for the store to show that a spare has left its group. */
const LEAVE_VISIBLE_TIMEOUT_MS = 1500;

/** Warms spares, and knows the groups in which they are meanwhile. */
export class SpareWarmer {
  #clock: Clock;
  #logger: Logger;
  #instances: Instances;
  #orderSender: OrderSender;
  /** Names of the groups that spares have joined, by process. */
  #groups = new Map<string, string>();
  #failedUntil = new Map<string, number>();

  constructor(kernel: RelayKernel, orderSender: OrderSender) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#orderSender = orderSender;
  }

  /** Whether a group consists of a spare that loads weights. */
  isWarmingGroup(name: string): boolean {
    return [...this.#groups.values()].includes(name);
  }

  /** Whether a spare may be warmed now. */
  canWarm(instance: Instance): boolean {
    const key = createProcessKey(instance);
    return !this.#groups.has(key) &&
      this.#clock.now() >= (this.#failedUntil.get(key) ?? -Infinity);
  }

  dump(): unknown {
    return Object.fromEntries(this.#groups);
  }

  /** Loads a model's weights on a spare. */
  async warm(
    spare: Instance,
    model: ModelProfile,
    epoch: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { id } = spare;
    const key = createProcessKey(spare);
    const group = createWarmingName(model.name, epoch, spare);
    this.#groups.set(key, group);
    this.#failedUntil.delete(key);
    try {
      await this.#orderSender.send(
        id,
        { kind: "join", group, epoch, model: model.name, members: [id] },
        ({ engine }) => isMemberOf(engine.membership, group, epoch),
        signal,
      );
      await this.#waitFor(
        model.stagedLoadMs + JOIN_TIMEOUT_MS,
        () => this.#hasLoaded(id, group, epoch),
        signal,
      );
      if (isMemberOf(this.#findMembership(id), group, epoch)) {
        await this.#orderSender.send(
          id,
          { kind: "leave", group, epoch },
          ({ engine }) => !isMemberOf(engine.membership, group, epoch),
          signal,
        );
        await this.#waitFor(
          LEAVE_VISIBLE_TIMEOUT_MS,
          () => !isMemberOf(this.#findMembership(id), group, epoch),
          signal,
        );
      }
    } catch (failure) {
      this.#failedUntil.set(key, this.#clock.now() + RETRY_DELAY_MS);
      this.#logger.info("warming_failed", {
        instance: id,
        model: model.name,
        error: describeError(failure),
      });
    } finally {
      this.#groups.delete(key);
    }
  }

  /** Whether the spare is ready, in a later group or gone. */
  #hasLoaded(id: string, group: string, epoch: number): boolean {
    const instance = this.#instances.find(id);
    const membership = instance?.engine?.membership;
    // The list may still show an earlier group.
    return instance === undefined ||
      membership !== undefined && membership.epoch > epoch ||
      isMemberOf(membership, group, epoch) && membership?.state === "ready";
  }

  async #waitFor(
    timeoutMs: number,
    isMet: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    await withDeadline(
      this.#clock,
      timeoutMs,
      signal,
      (bounded) => this.#instances.changed.until(isMet, bounded),
    );
  }

  #findMembership(id: string): Membership | undefined {
    return this.#instances.find(id)?.engine?.membership;
  }
}
