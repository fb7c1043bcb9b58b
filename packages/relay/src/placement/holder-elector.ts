/**
 * Elects the holder of placement, the one node that gives orders, by membership
 * at the store.
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
import { createMachine, interpret, state, transition } from "robot3";
import type { CapacityMonitor } from "../entry/capacity-monitor.ts";
import type { Feeds } from "../feeds/feeds.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type { ElectionStatus, HolderElection } from "../adapter.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { Peer } from "../peers/peer.ts";
import type { RelayKernel } from "../services.ts";

/** A member that has not renewed for this long loses its membership. */
const MEMBERSHIP_TERM_MS = 1500;
const RENEWAL_INTERVAL_MS = 400;
const RETRY_INTERVAL_MS = 150;
/** The shortest interval of heartbeats, which say who holds placement. */
const STANDBY_CHECK_INTERVAL_MS = 150;
/**
 * A node with less than this fraction of a peer's capacity leaves placement to
 * that peer: orders of a slow node are late and expire.
 */
const MIN_RELATIVE_CAPACITY = 0.5;
/** A node with less capacity lets others go first, even if it has no peer. */
const MIN_CORE_SHARE = 0.2;
/** Two terms; after that, faster nodes probably cannot reach the store. */
const MAX_YIELD_MS = 3000;
/**
 * A node that has just started waits this long to hear from the nodes that it
 * knows. Connections to running nodes are open and in use within 0.3 s, and the
 * more nodes there are, the longer a node waits before it connects.
 */
const STARTUP_WAIT_MS = 1000;
const STARTUP_WAIT_MS_PER_NODE = 10;
/** Nodes without a holder join at random times, on average this far apart. */
const JOIN_JITTER_MS_PER_NODE = 15;
/** Orders end this long before the store may give placement to another node. */
const TERM_MARGIN_MS = 200;

const machine = createMachine({
  member: state(transition("hold", "holder")),
  holder: state(transition("lose", "member")),
});

/**
 * Renews this node's membership and knows whether it may give orders. While a
 * peer says that it holds placement, this node is not a member: each change of
 * the members may move placement, which ends orders in progress. For the same
 * reason, a node first waits to hear from a holder, and if there is none, the
 * first node to join announces it and the others wait. A slow node becomes a
 * member only if no faster one takes placement in time.
 */
export class HolderElector implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #feeds: Feeds;
  #election: HolderElection;
  #memberId: string;
  #lifecycle: Lifecycle;
  #mesh: Mesh;
  #capacityMonitor: CapacityMonitor;
  #isMember = false;
  /** Whether this node may become holder; false while the store is silent. */
  #isCandidate = false;
  #tasks: TaskGroup;
  #machine = interpret(machine, () => {});
  #generation = 0;
  #heldUntil = -Infinity;
  #heldSince = -Infinity;
  #startedAt: number;
  /** When a node was last known to hold placement. */
  #holderSeenAt: number;
  /** When this node joins, unless another node joins before. */
  #joinAt: number | undefined;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#election = kernel.find("seat");
    this.#lifecycle = kernel.find("lifecycle");
    this.#mesh = kernel.find("mesh");
    this.#capacityMonitor = kernel.find("intake");
    this.#startedAt = this.#clock.now();
    this.#holderSeenAt = this.#startedAt;
    this.#feeds = kernel.find("feeds");
    // Orders are based on what this node has read, so it must be recent.
    this.#feeds.readAtFullRateWhile(() => this.isHolder);
    this.#mesh.setPlacementSource(() => ({
      isHolder: this.isHolder,
      isCandidate: this.#isCandidate,
    }));
    // A restarted process must not continue the membership of its predecessor.
    this.#memberId = `${
      kernel.find("settings").node.name
    }/${this.#random.id()}`;
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tasks.run("renew_membership", (signal) => this.#runElection(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Whether this node may give orders now. */
  get isHolder(): boolean {
    return this.#machine.machine.current === "holder" &&
      this.#clock.now() < this.#heldUntil;
  }

  /** How long this node has held placement; zero if it does not. */
  get heldMs(): number {
    return this.isHolder ? this.#clock.now() - this.#heldSince : 0;
  }

  /** The fencing number of this node's orders. */
  get fence(): number {
    return this.#generation;
  }

  /** Gives up placement, as an engine has seen a later fencing number. */
  stepDown(): void {
    this.#losePlacement("fenced");
  }

  dump(): unknown {
    return { isHolder: this.isHolder, generation: this.#generation };
  }

  async #runElection(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#lifecycle.isDraining) {
      if (this.#isYielding()) {
        await this.#standBy(signal);
        continue;
      }
      const sentAt = this.#clock.now();
      this.#announceJoin();
      const renewed = await this.#election.renew(
        this.#memberId,
        this.#generation,
        MEMBERSHIP_TERM_MS,
        signal,
      );
      if (signal.aborted) {
        return;
      }
      renewed.match({
        Ok: (status) => this.#applyRenewal(status, sentAt),
        Err: ({ message }) => this.#handleRenewalFailure(message),
      });
      // Other members renew more often, to see when the holder's term ends.
      const pauseMs = renewed.isOk && this.isHolder
        ? RENEWAL_INTERVAL_MS
        : RETRY_INTERVAL_MS;
      await this.#clock.sleep(pauseMs, signal);
    }
    this.#losePlacement("stopping");
    await this.#leave(signal);
  }

  /** Whether this node leaves placement to another node. */
  #isYielding(): boolean {
    const now = this.#clock.now();
    if (this.isHolder) {
      this.#holderSeenAt = now;
      return false;
    }
    const peers = this.#mesh.list();
    if (peers.some(isLiveHolder)) {
      this.#holderSeenAt = now;
      this.#joinAt = undefined;
      return true;
    }
    const canYield = now - this.#holderSeenAt < MAX_YIELD_MS;
    if (canYield && this.#isSlower(peers)) {
      return true;
    }
    return !this.#isMember && !this.#canJoin(peers, canYield, now);
  }

  /** Whether this node may become a member now. */
  #canJoin(
    peers: readonly Peer[],
    canYield: boolean,
    now: number,
  ): boolean {
    const startupWaitMs = STARTUP_WAIT_MS +
      STARTUP_WAIT_MS_PER_NODE * this.#mesh.countNodes();
    const isWaitingForReports = now - this.#startedAt < startupWaitMs &&
      !this.#hasReportsFromAll(peers);
    const isPeerJoining = canYield &&
      peers.some(({ seeksPlacement }) => seeksPlacement);
    if (isWaitingForReports || isPeerJoining) {
      return false;
    }
    const maxJitterMs = JOIN_JITTER_MS_PER_NODE * this.#mesh.countNodes();
    this.#joinAt ??= now + this.#random.fraction() * maxJitterMs;
    return now >= this.#joinAt;
  }

  /** Whether every announced node has reported whether it holds placement. */
  #hasReportsFromAll(peers: readonly Peer[]): boolean {
    return this.#feeds.isReachable("nodes") &&
      peers.length + 1 >= this.#mesh.countNodes();
  }

  #isSlower(peers: readonly Peer[]): boolean {
    const { capacity } = this.#capacityMonitor;
    return peers.length === 0
      ? capacity < MIN_CORE_SHARE
      : peers.some((peer) => capacity < peer.capacity * MIN_RELATIVE_CAPACITY);
  }

  async #standBy(signal: AbortSignal): Promise<void> {
    await this.#leave(signal);
    const untilJoinMs = (this.#joinAt ?? Infinity) - this.#clock.now();
    const pauseMs = untilJoinMs > 0
      ? Math.min(STANDBY_CHECK_INTERVAL_MS, untilJoinMs)
      : STANDBY_CHECK_INTERVAL_MS;
    await this.#clock.sleep(pauseMs, signal);
  }

  /** Informs peers immediately that they need not join as well. */
  #announceJoin(): void {
    if (!this.#isMember) {
      this.#isMember = true;
      this.#isCandidate = true;
      this.#joinAt = undefined;
      this.#mesh.broadcastHeartbeat();
    }
  }

  async #leave(signal: AbortSignal): Promise<void> {
    if (!this.#isMember) {
      return;
    }
    this.#isMember = false;
    this.#isCandidate = false;
    const left = await this.#election.leave(this.#memberId, signal);
    if (left.isErr) {
      this.#logger.warn("membership_leave_failed", {
        error: left.error.message,
      });
    }
  }

  /** The term starts when the renewal is sent, not when it is answered. */
  #applyRenewal(
    { generation, isHolder }: ElectionStatus,
    sentAt: number,
  ): void {
    if (generation !== this.#generation) {
      this.#logger.info("membership_changed", {
        generation,
        before: this.#generation,
        is_holder: isHolder,
      });
    }
    this.#generation = generation;
    this.#isCandidate = true;
    if (!isHolder) {
      this.#losePlacement("another node holds placement");
      return;
    }
    const wasHolder = this.isHolder;
    this.#heldUntil = sentAt + MEMBERSHIP_TERM_MS - TERM_MARGIN_MS;
    this.#machine.send("hold");
    if (!wasHolder) {
      this.#heldSince = this.#clock.now();
      this.#logger.info("placement_held", { fence: generation });
      this.#mesh.broadcastHeartbeat();
    }
  }

  #handleRenewalFailure(error: string): void {
    this.#isCandidate = false;
    this.#logger.debug("membership_renewal_failed", { error });
    if (this.#clock.now() >= this.#heldUntil) {
      this.#losePlacement("the term ended without a renewal");
    }
  }

  #losePlacement(reason: string): void {
    if (this.#machine.machine.current === "holder") {
      this.#machine.send("lose");
      this.#heldUntil = -Infinity;
      this.#logger.info("placement_lost", { fence: this.#generation, reason });
      this.#mesh.broadcastHeartbeat();
    }
  }
}

/** Whether a peer holds placement; it ends after one term without a message. */
function isLiveHolder({ holdsPlacement, silentMs }: Peer): boolean {
  return holdsPlacement && silentMs < MEMBERSHIP_TERM_MS;
}
