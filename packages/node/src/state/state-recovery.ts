/**
 * Recovers the control state from peers when the log cannot bring this node up
 * to date.
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
import { createPosition } from "@zinniahill/policy";
import type { PeerMessageOf } from "@zinniahill/schema";
import type { Peer, Peers } from "../peers/peers.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "./control-state.ts";

const RECOVERY_INTERVAL_MS = 500;
/** Limits how long one silent peer delays the use of other peers' replies. */
const REPLY_TIMEOUT_MS = 2000;

/** Requests snapshots from peers and answers their requests. */
export class StateRecovery implements Service {
  #clock: Clock;
  #state: ControlState;
  #peers: Peers;
  #tasks: TaskGroup;
  #snapshots = new Map<string, PeerMessageOf<"snapshot">>();
  #snapshotReceived = new Condition();
  #requestCount = 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#state = kernel.find("state");
    this.#peers = kernel.find("peers");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
    this.#peers.onMessage("snapshot-request", (node) => {
      const { control, era } = this.#state;
      const state = control.createSnapshot();
      this.#peers.send(node, { kind: "snapshot", state, era });
    });
    this.#peers.onMessage("snapshot", (node, message) => {
      this.#snapshots.set(node, message);
      this.#snapshotReceived.notify();
    });
  }

  start(): void {
    this.#tasks.repeat(
      "recover_state",
      RECOVERY_INTERVAL_MS,
      (signal) => this.#recover(signal),
    );
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { requests: this.#requestCount };
  }

  /** Asks every peer that is ahead and adopts the newest of their snapshots. */
  async #recover(signal: AbortSignal): Promise<void> {
    if (!this.#state.needsPeerSnapshot || !this.#peers.hasSettled) {
      return;
    }
    const askedNodes = this.#peers.list()
      .filter((peer) => this.#isAhead(peer))
      .map(({ hello }) => hello.node);
    if (askedNodes.length === 0) {
      return;
    }
    this.#snapshots.clear();
    this.#requestCount += askedNodes.length;
    for (const node of askedNodes) {
      this.#peers.send(node, { kind: "snapshot-request" });
    }
    await this.#waitForReplies(askedNodes, signal);
    const [newest] = [...this.#snapshots.values()]
      .sort((a, b) =>
        createPosition(b.era ?? 0, b.state.asOf) -
        createPosition(a.era ?? 0, a.state.asOf)
      );
    if (newest !== undefined) {
      this.#state.adopt(newest.state, "peer", newest.era ?? 0);
    }
  }

  /**
   * Compares offsets if this node has no state or can reach the log. Otherwise
   * only a newer configuration counts, because a snapshot is large and leases
   * change often.
   */
  #isAhead({ heartbeat }: Peer): boolean {
    const { control: { asOf, configuration }, era } = this.#state;
    if (heartbeat === undefined) {
      return false;
    }
    return asOf === 0 || this.#state.isLogReachable
      ? createPosition(heartbeat.era ?? 0, heartbeat.controlOffset) >
        createPosition(era, asOf)
      : heartbeat.configurationVersion > configuration.version;
  }

  async #waitForReplies(
    askedNodes: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    try {
      await withDeadline(
        this.#clock,
        REPLY_TIMEOUT_MS,
        signal,
        (limitedSignal) =>
          this.#snapshotReceived.until(
            () => askedNodes.every((node) => this.#snapshots.has(node)),
            limitedSignal,
          ),
      );
    } catch {
      // After the timeout, the snapshots that have arrived are used.
    }
  }
}
