/**
 * The other nodes as their last heartbeats described them.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type {
  ForwardedMessage,
  HarmfulPartsReport,
  MessageOf,
  NodeEntry,
} from "../model/peer-message.ts";
import { createForwardedMessage } from "./forwarder.ts";
import type { NodeDemand, Peer } from "./peer.ts";
import { PeerLoads } from "./peer-loads.ts";

type Heartbeat = MessageOf<"beat">;

/** The state of one node. */
interface PeerState {
  readonly entry: NodeEntry;
  /** Name of the node at the other end of the link that messages came over. */
  via: string;
  lastMessageAt: number;
  lastHeartbeat: Heartbeat | undefined;
}

/** Keeps the last heartbeat of each node, direct or forwarded. */
export class PeerTable {
  readonly loads = new PeerLoads();
  /** Called with the parts of prompts that a node holds back, if any. */
  onHarmfulParts: (reported: readonly HarmfulPartsReport[]) => void = () => {};
  #clock: Pick<Clock, "now">;
  #withdrawn = new Set<string>();
  #states = new Map<string, PeerState>();

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  list(): Peer[] {
    const now = this.#clock.now();
    return [...this.#states.values()].map((
      { entry, lastHeartbeat, lastMessageAt },
    ) => ({
      entry,
      isServing: lastHeartbeat?.isServing ?? false,
      holdsPlacement: lastHeartbeat?.holdsPlacement ?? false,
      seeksPlacement: lastHeartbeat?.seeksPlacement ?? false,
      capacity: lastHeartbeat?.capacity ?? 0,
      silentMs: now - lastMessageAt,
    }));
  }

  /**
   * Whether a node last said that it serves no callers, as while it shuts down.
   * That holds until it says otherwise, also once it is gone.
   */
  isWithdrawn(name: string): boolean {
    return this.#withdrawn.has(name);
  }

  /** The name of the node over whose link messages of a node last came. */
  findVia(name: string): string | undefined {
    return this.#states.get(name)?.via;
  }

  /** Lists the last heartbeats as messages that can be forwarded. */
  listForwarded(): ForwardedMessage[] {
    const now = this.#clock.now();
    return [...this.#states.values()].flatMap((
      { entry, lastHeartbeat, lastMessageAt },
    ) =>
      lastHeartbeat === undefined ? [] : [
        createForwardedMessage(entry, lastHeartbeat, {
          ageMs: now - lastMessageAt,
        }),
      ]
    );
  }

  /** The work of callers that other nodes report. */
  listDemands(): NodeDemand[] {
    return [...this.#states.values()].map(({ entry, lastHeartbeat }) => ({
      dataCentre: entry.dataCentre,
      demand: lastHeartbeat?.demand ?? [],
    }));
  }

  /** Whether messages of this process have come lately. */
  isHeard(entry: NodeEntry | undefined): boolean {
    return entry !== undefined &&
      this.#states.get(entry.name)?.entry.incarnation === entry.incarnation;
  }

  /** The last heartbeats, without nodes of which none has come yet. */
  listHeartbeats(): Heartbeat[] {
    return [...this.#states.values()].flatMap(({ lastHeartbeat }) =>
      lastHeartbeat === undefined ? [] : [lastHeartbeat]
    );
  }

  findHeartbeat(name: string): Heartbeat | undefined {
    return this.#states.get(name)?.lastHeartbeat;
  }

  /** Records that a message of a node was sent `ageMs` ago. */
  recordMessage(entry: NodeEntry, via: string, ageMs = 0): void {
    const sentAt = this.#clock.now() - ageMs;
    const state = this.#states.get(entry.name);
    if (state?.entry.incarnation === entry.incarnation) {
      state.via = via;
      state.lastMessageAt = Math.max(state.lastMessageAt, sentAt);
      return;
    }
    this.#states.set(entry.name, {
      entry,
      via,
      lastMessageAt: sentAt,
      lastHeartbeat: undefined,
    });
  }

  /**
   * Applies a heartbeat that was sent `ageMs` ago; false if a later one of the
   * same process was applied before.
   */
  recordHeartbeat(
    { name }: NodeEntry,
    heartbeat: Heartbeat,
    ageMs = 0,
  ): boolean {
    const state = this.#states.get(name);
    const lastSequence = state?.lastHeartbeat?.sequence ?? -Infinity;
    const { sequence = Infinity } = heartbeat;
    if (state === undefined || sequence <= lastSequence) {
      return false;
    }
    state.lastHeartbeat = { ...heartbeat, forwarded: [], isUrgent: false };
    if (heartbeat.isServing) {
      this.#withdrawn.delete(name);
    } else {
      this.#withdrawn.add(name);
    }
    this.loads.update(name, heartbeat.outstanding, this.#clock.now() - ageMs);
    if (heartbeat.harmfulParts.length > 0) {
      this.onHarmfulParts(heartbeat.harmfulParts.map((reported) => ({
        parts: reported.parts,
        ageMs: reported.ageMs + ageMs,
      })));
    }
    return true;
  }

  remove(name: string): void {
    this.#states.delete(name);
    this.loads.remove(name);
  }

  /** Removes nodes whose messages have not come for this long. */
  removeSilent(timeoutMs: number): void {
    for (const { entry, silentMs } of this.list()) {
      if (silentMs > timeoutMs) {
        this.remove(entry.name);
      }
    }
  }
}
