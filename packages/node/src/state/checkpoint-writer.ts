/**
 * Appends checkpoints, which hold the reducer's state, well before the records
 * that produced the state expire, and the configuration in force if the log has
 * lost it.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import { computeCheckpointDelay, isCheckpointDue } from "@zinniahill/policy";
import type { Settings } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "./control-state.ts";

const CHECK_INTERVAL_MS = 1000;

/** Appends a checkpoint when one is due and no other node has appended it. */
export class CheckpointWriter implements Service {
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #settings: Settings;
  #state: ControlState;
  #tasks: TaskGroup;
  #writtenCount = 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#settings = kernel.find("settings");
    this.#state = kernel.find("state");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tasks.repeat(
      "append_lost_configuration",
      CHECK_INTERVAL_MS,
      (signal) => this.#appendLostConfiguration(signal),
    );
    this.#tasks.repeat(
      "write_checkpoint",
      CHECK_INTERVAL_MS,
      (signal) => this.#writeWhenDue(signal),
    );
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { written: this.#writtenCount };
  }

  /**
   * Waits for this node's delay, so that not all nodes append at once. Appends
   * unless another node has done so meanwhile.
   */
  async #writeWhenDue(signal: AbortSignal): Promise<void> {
    if (!this.#isDue()) {
      return;
    }
    const spreadMs = this.#settings.timing["checkpoint-interval"] / 2;
    await this.#waitForTurn(spreadMs, signal);
    if (!this.#isDue()) {
      return;
    }
    const state = this.#state.control.createSnapshot();
    const decision = await this.#state.propose({
      kind: "checkpoint",
      id: this.#random.id(),
      node: this.#settings.node.name,
      state,
    }, signal);
    if (decision.isOk) {
      this.#writtenCount++;
      this.#logger.info("checkpoint_written", { as_of: state.asOf });
    }
  }

  /**
   * Publishes the configuration in force again if the log was restored from a
   * copy without it. The record's id is the same on all nodes, so that the first
   * one decides.
   */
  async #appendLostConfiguration(signal: AbortSignal): Promise<void> {
    if (!this.#isConfigurationLost) {
      return;
    }
    await this.#waitForTurn(this.#settings.platform["log-timeout"], signal);
    if (!this.#isConfigurationLost) {
      return;
    }
    const { version, text, author } = this.#state.configurationInForce;
    const basis = this.#state.control.configuration.version;
    await this.#state.propose({
      kind: "configuration",
      id: `lost-${version}-${basis}`,
      node: this.#settings.node.name,
      basis,
      text,
      author,
    }, signal);
    this.#logger.warn("lost_configuration_appended", { version, basis });
  }

  get #isConfigurationLost(): boolean {
    const { control, configurationInForce, isCaughtUp } = this.#state;
    return isCaughtUp &&
      control.configuration.version < configurationInForce.version;
  }

  async #waitForTurn(spreadMs: number, signal: AbortSignal): Promise<void> {
    const delayMs = computeCheckpointDelay({
      node: this.#settings.node.name,
      holders: this.#listLeaseHolders(),
      stepMs: this.#settings.platform["log-timeout"],
      spreadMs,
    }, this.#random);
    await this.#clock.sleep(delayMs, signal);
  }

  #isDue(): boolean {
    const { control, checkpoint, isCaughtUp } = this.#state;
    const age = {
      entries: control.asOf - checkpoint.asOf,
      elapsedMs: this.#clock.now() - checkpoint.readAt,
    };
    return isCaughtUp && control.asOf > 0 && isCheckpointDue(age, {
      entries: this.#settings.limits["checkpoint-records"],
      elapsedMs: this.#settings.timing["checkpoint-interval"],
    });
  }

  /** Holders of leases that have not expired, sorted by scope. */
  #listLeaseHolders(): string[] {
    const termMs = this.#settings.timing["lease-term"];
    return [...this.#state.control.leases.values()]
      .filter(({ scope }) => {
        const readAt = this.#state.findLeaseReadTime(scope);
        return readAt !== undefined && this.#clock.now() - readAt < termMs;
      })
      .sort((a, b) => a.scope < b.scope ? -1 : 1)
      .map(({ holder }) => holder);
  }
}
