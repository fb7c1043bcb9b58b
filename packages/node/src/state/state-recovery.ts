/**
 * Recovery from peers: the control state of other nodes, for a node that the
 * log cannot bring up to date.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { ControlSnapshot } from "@zinniahill/schema";
import type { Peer, Peers } from "../peers/peers.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "./control-state.ts";

const ROUND_INTERVAL_MS = 500;
/** A peer that has not replied by then does not hold up the others' reply. */
const REPLY_DEADLINE_MS = 2000;

/** Asks peers for their state, and gives this node's own. */
export class StateRecovery implements Service {
  #clock: Clock;
  #state: ControlState;
  #peers: Peers;
  #tasks: TaskGroup;
  #replies = new Map<string, ControlSnapshot>();
  #replied = new Condition();
  #requests = 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#state = kernel.find("state");
    this.#peers = kernel.find("peers");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
    this.#peers.onMessage("snapshot-request", (node) => {
      const state = this.#state.control.createSnapshot();
      this.#peers.send(node, { kind: "snapshot", state });
    });
    this.#peers.onMessage("snapshot", (node, { state }) => {
      this.#replies.set(node, state);
      this.#replied.notify();
    });
  }

  start(): void {
    this.#tasks.repeat(
      "recover_state",
      ROUND_INTERVAL_MS,
      (signal) => this.#recover(signal),
    );
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { requests: this.#requests };
  }

  /** Asks every peer that is ahead and adopts the latest of their states. */
  async #recover(signal: AbortSignal): Promise<void> {
    if (!this.#state.needsPeerSnapshot || !this.#peers.hasSettled) {
      return;
    }
    const asked = this.#peers.list()
      .filter((peer) => this.#isAhead(peer))
      .map(({ hello }) => hello.node);
    if (asked.length === 0) {
      return;
    }
    this.#replies.clear();
    this.#requests += asked.length;
    for (const node of asked) {
      this.#peers.send(node, { kind: "snapshot-request" });
    }
    await this.#waitForReplies(asked, signal);
    const [latest] = [...this.#replies.values()]
      .sort((a, b) => b.asOf - a.asOf);
    if (latest !== undefined) {
      this.#state.adopt(latest, "peer");
    }
  }

  /**
   * A node with no state takes any; one that holds a state asks only for a
   * newer configuration, because a state is large and leases change often.
   */
  #isAhead({ heartbeat }: Peer): boolean {
    const { asOf, configuration } = this.#state.control;
    if (heartbeat === undefined) {
      return false;
    }
    return asOf === 0 || this.#state.isLogReachable
      ? heartbeat.controlOffset > asOf
      : heartbeat.configurationVersion > configuration.version;
  }

  async #waitForReplies(
    asked: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    try {
      await withDeadline(
        this.#clock,
        REPLY_DEADLINE_MS,
        signal,
        (limited) =>
          this.#replied.until(
            () => asked.every((node) => this.#replies.has(node)),
            limited,
          ),
      );
    } catch {
      // The states that did arrive are used.
    }
  }
}
