/**
 * The connections that this node keeps up; one task for each.
 *
 * @module
 */
import { type Clock, type TaskGroup, withDeadline } from "@zinniahill/kernel";
import type { PeerSlot } from "@zinniahill/policy";

const RECONNECT_PAUSE_MS = 500;
/** How long a replacement is kept before the preferred peer is tried again. */
const REPLACEMENT_MS = 10_000;

/** What a slot asks of the service that owns it. */
export interface SlotOwner {
  /** Whether a node at this address is connected, by either side. */
  isConnected(address: string): boolean;
  /** Connects; resolves to whether the peer was admitted and has spoken. */
  dial(address: string, signal: AbortSignal): Promise<boolean>;
  /** Ends a connection that this node dialled and no slot keeps. */
  release(address: string): void;
  /** Waits until a connection begins or ends. */
  waitForChange(signal: AbortSignal): Promise<void>;
}

/** Keeps one connection for each slot. */
export class PeerSlots {
  #clock: Clock;
  #owner: SlotOwner;
  #slots: readonly PeerSlot[];
  #kept = new Map<PeerSlot, string>();
  #tried = new Set<PeerSlot>();

  constructor(clock: Clock, owner: SlotOwner, slots: readonly PeerSlot[]) {
    this.#clock = clock;
    this.#owner = owner;
    this.#slots = slots;
  }

  /** Whether every slot has been tried once. */
  get areTried(): boolean {
    return this.#tried.size === this.#slots.length;
  }

  /** Begins one task for each slot. */
  start(tasks: TaskGroup): void {
    for (const slot of this.#slots) {
      tasks.repeat(
        "keep_peer",
        RECONNECT_PAUSE_MS,
        (signal) => this.#keep(slot, signal),
      );
    }
  }

  /** Connects to the first peer that can be reached and keeps it. */
  async #keep(slot: PeerSlot, signal: AbortSignal): Promise<void> {
    for (const [index, address] of slot.entries()) {
      const isConnected = this.#owner.isConnected(address) ||
        await this.#owner.dial(address, signal);
      if (isConnected) {
        this.#tried.add(slot);
        this.#assign(slot, address);
        await this.#wait(address, index > 0, signal);
        return;
      }
    }
    this.#tried.add(slot);
    this.#assign(slot, undefined);
  }

  #assign(slot: PeerSlot, address: string | undefined): void {
    const previous = this.#kept.get(slot);
    if (address === undefined) {
      this.#kept.delete(slot);
    } else {
      this.#kept.set(slot, address);
    }
    const isKept = [...this.#kept.values()].includes(previous ?? "");
    if (previous !== undefined && !isKept) {
      this.#owner.release(previous);
    }
  }

  /** Waits until the peer is lost, or until a better one should be tried. */
  async #wait(
    address: string,
    isReplacement: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const waitForLoss = async (limited: AbortSignal) => {
      while (this.#owner.isConnected(address)) {
        await this.#owner.waitForChange(limited);
      }
    };
    if (!isReplacement) {
      await waitForLoss(signal);
      return;
    }
    try {
      await withDeadline(this.#clock, REPLACEMENT_MS, signal, waitForLoss);
    } catch {
      // The slot's next round begins with the preferred peer.
    }
  }
}
