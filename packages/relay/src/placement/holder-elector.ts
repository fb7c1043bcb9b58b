/**
 * Which node gives orders: one at a time, by membership at the store.
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

/** A member that has not renewed for this long loses its place. */
const TERM_MS = 1500;
const RENEWAL_MS = 400;
const RETRY_MS = 150;
/** As often as peers say by their beats whether they hold placement. */
const STANDBY_CHECK_MS = 150;
/**
 * A node with less than this share of a peer's capacity leaves placement to it:
 * orders that a slow node gives come late and lapse.
 */
const MIN_SHARE_OF_PEER = 0.5;
/** Also without a peer heard yet, a node this slow lets others come first. */
const SLOW_CORE_SHARE = 0.2;
/** Two terms; after that, faster nodes seem to be kept from the store. */
const PATIENCE_MS = 3000;
/**
 * A node that has just started listens this long for the nodes that it knows.
 * Connections to living ones are made and used within 0.3 s.
 */
const LISTEN_MS = 1000;
/** Nodes that miss a holder join at moments that are this far apart. */
const JOIN_SPREAD_MS_PER_NODE = 15;
/** Orders end this long before the store may give placement to another. */
const TERM_MARGIN_MS = 200;

const machine = createMachine({
  member: state(transition("hold", "holder")),
  holder: state(transition("lose", "member")),
});

/**
 * Renews this node's membership and knows whether it may give orders. As long as
 * a peer says that it holds placement, this node is no member: each change of
 * the members may move placement, and orders in progress end with it. For the
 * same reason a node first listens whether there is a holder, and of several
 * nodes that miss one, the first to join says so and the others wait. A slow
 * node becomes a member only if no faster one takes placement in time.
 */
export class HolderElector implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #feeds: Feeds;
  #seat: HolderElection;
  #member: string;
  #lifecycle: Lifecycle;
  #mesh: Mesh;
  #intake: CapacityMonitor;
  #isMember = false;
  /** Whether this node may become the holder, as far as the store answers. */
  #seeks = false;
  #tasks: TaskGroup;
  #machine = interpret(machine, () => {});
  #generation = 0;
  #heldUntil = -Infinity;
  #heldSince = -Infinity;
  #startedAt: number;
  /** When some node was last known to hold placement. */
  #holderSeenAt: number;
  /** When this node joins if no other has until then. */
  #joinAt: number | undefined;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#seat = kernel.find("seat");
    this.#lifecycle = kernel.find("lifecycle");
    this.#mesh = kernel.find("mesh");
    this.#intake = kernel.find("intake");
    this.#startedAt = this.#clock.now();
    this.#holderSeenAt = this.#startedAt;
    this.#feeds = kernel.find("feeds");
    // Orders are based on what this node has read.
    this.#feeds.readAtFullRateWhile(() => this.isHolder);
    this.#mesh.setPlacementSource(() => ({
      isHolder: this.isHolder,
      isCandidate: this.#seeks,
    }));
    // A restarted process must not take its predecessor's place for granted.
    this.#member = `${kernel.find("settings").node.name}/${this.#random.id()}`;
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  start(): void {
    this.#tasks.run("renew_membership", (signal) => this.#renewForever(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Whether this node may give orders now. */
  get isHolder(): boolean {
    return this.#machine.machine.current === "holder" &&
      this.#clock.now() < this.#heldUntil;
  }

  /** How long this node has held placement. */
  get heldMs(): number {
    return this.isHolder ? this.#clock.now() - this.#heldSince : 0;
  }

  /** The fencing number of this node's orders. */
  get fence(): number {
    return this.#generation;
  }

  /** Notes that an engine has seen a later fencing number. */
  loseToFence(): void {
    this.#lose("fenced");
  }

  dump(): unknown {
    return { isHolder: this.isHolder, generation: this.#generation };
  }

  async #renewForever(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#lifecycle.isDraining) {
      if (this.#leavesPlacement()) {
        await this.#standBy(signal);
        continue;
      }
      const began = this.#clock.now();
      this.#noteJoining();
      const renewed = await this.#seat.renew(
        this.#member,
        this.#generation,
        TERM_MS,
        signal,
      );
      if (signal.aborted) {
        return;
      }
      renewed.match({
        Ok: (standing) => this.#apply(standing, began),
        Err: ({ message }) => this.#noteFailure(message),
      });
      // A member that waits for the term of the last holder to end asks often.
      const pauseMs = renewed.isOk && this.isHolder ? RENEWAL_MS : RETRY_MS;
      await this.#clock.sleep(pauseMs, signal);
    }
    this.#lose("stopping");
    await this.#leave(signal);
  }

  /** Whether another node holds placement or is about to. */
  #leavesPlacement(): boolean {
    const now = this.#clock.now();
    if (this.isHolder) {
      this.#holderSeenAt = now;
      return false;
    }
    const peers = this.#mesh.list();
    if (peers.some(holdsVisibly)) {
      this.#holderSeenAt = now;
      this.#joinAt = undefined;
      return true;
    }
    const isPatient = now - this.#holderSeenAt < PATIENCE_MS;
    if (isPatient && this.#isSlower(peers)) {
      return true;
    }
    return !this.#isMember && !this.#mayJoin(peers, isPatient, now);
  }

  /** Whether it is this node's turn to become a member. */
  #mayJoin(
    peers: readonly Peer[],
    isPatient: boolean,
    now: number,
  ): boolean {
    const isListening = now - this.#startedAt < LISTEN_MS &&
      !this.#hasHeardAll(peers);
    const isForestalled = isPatient &&
      peers.some(({ seeksPlacement }) => seeksPlacement);
    if (isListening || isForestalled) {
      return false;
    }
    const spreadMs = JOIN_SPREAD_MS_PER_NODE * this.#mesh.countNodes();
    this.#joinAt ??= now + this.#random.fraction() * spreadMs;
    return now >= this.#joinAt;
  }

  /** Whether each announced node has said whether it holds placement. */
  #hasHeardAll(peers: readonly Peer[]): boolean {
    return this.#feeds.isReachable("nodes") &&
      peers.length + 1 >= this.#mesh.countNodes();
  }

  #isSlower(peers: readonly Peer[]): boolean {
    const { capacity } = this.#intake;
    return peers.length === 0
      ? capacity < SLOW_CORE_SHARE
      : peers.some((peer) => capacity < peer.capacity * MIN_SHARE_OF_PEER);
  }

  async #standBy(signal: AbortSignal): Promise<void> {
    await this.#leave(signal);
    const untilJoinMs = (this.#joinAt ?? Infinity) - this.#clock.now();
    const pauseMs = untilJoinMs > 0
      ? Math.min(STANDBY_CHECK_MS, untilJoinMs)
      : STANDBY_CHECK_MS;
    await this.#clock.sleep(pauseMs, signal);
  }

  /** Lets peers know at once that they need not join as well. */
  #noteJoining(): void {
    if (!this.#isMember) {
      this.#isMember = true;
      this.#seeks = true;
      this.#joinAt = undefined;
      this.#mesh.broadcastHeartbeat();
    }
  }

  async #leave(signal: AbortSignal): Promise<void> {
    if (!this.#isMember) {
      return;
    }
    this.#isMember = false;
    this.#seeks = false;
    const left = await this.#seat.leave(this.#member, signal);
    if (left.isErr) {
      this.#logger.warn("membership_leave_failed", {
        error: left.error.message,
      });
    }
  }

  /** The term counts from before the renewal was sent. */
  #apply({ generation, isHolder }: ElectionStatus, began: number): void {
    if (generation !== this.#generation) {
      this.#logger.info("membership_changed", {
        generation,
        before: this.#generation,
        is_holder: isHolder,
      });
    }
    this.#generation = generation;
    this.#seeks = true;
    if (!isHolder) {
      this.#lose("another node holds placement");
      return;
    }
    const wasHolder = this.isHolder;
    this.#heldUntil = began + TERM_MS - TERM_MARGIN_MS;
    this.#machine.send("hold");
    if (!wasHolder) {
      this.#heldSince = this.#clock.now();
      this.#logger.info("placement_held", { fence: generation });
      this.#mesh.broadcastHeartbeat();
    }
  }

  #noteFailure(error: string): void {
    this.#seeks = false;
    this.#logger.debug("membership_renewal_failed", { error });
    if (this.#clock.now() >= this.#heldUntil) {
      this.#lose("the term ended without a renewal");
    }
  }

  #lose(reason: string): void {
    if (this.#machine.machine.current === "holder") {
      this.#machine.send("lose");
      this.#heldUntil = -Infinity;
      this.#logger.info("placement_lost", { fence: this.#generation, reason });
      this.#mesh.broadcastHeartbeat();
    }
  }
}

/** A holder that was silent for a term has lost its place. */
function holdsVisibly({ holdsPlacement, silentMs }: Peer): boolean {
  return holdsPlacement && silentMs < TERM_MS;
}
