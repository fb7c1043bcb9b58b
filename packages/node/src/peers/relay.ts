/**
 * Messages that travel over several connections, because not every node has
 * a connection to every other one.
 *
 * @module
 */
import type { PeerMessage, PeerMessageOf } from "@zinniahill/schema";

type Relayed = PeerMessageOf<"relayed">;
type Payload = Relayed["message"];

/** Kinds that are passed on; the others concern one connection only. */
const IS_RELAYED: { readonly [Kind in PeerMessage["kind"]]: boolean } = {
  "hello": false,
  "heartbeat": false,
  "evidence": true,
  "usage": true,
  "snapshot-request": false,
  "snapshot": false,
  "relayed": false,
};

/**
 * Messages of one origin that may arrive out of order. Paths differ by a few
 * hops, so that messages rarely overtake each other by more than a few.
 */
const ORDER_WINDOW = 64;
/** Processes whose messages are remembered; about three times 370 nodes. */
const MAX_ORIGINS = 1024;

interface Seen {
  highest: number;
  readonly sequences: Set<number>;
}

/** Whether a message is passed on by the nodes that receive it. */
export function isRelayable(message: PeerMessage): message is Payload {
  return IS_RELAYED[message.kind];
}

/** Tells new messages from those that arrived over another path before. */
export class Relay {
  #node: string;
  #instance: string;
  #sequence = 0;
  #seen = new Map<string, Seen>();

  constructor(node: string, instance: string) {
    this.#node = node;
    this.#instance = instance;
  }

  /** Wraps a message of this node. */
  wrap(message: Payload): Relayed {
    this.#sequence++;
    return {
      kind: "relayed",
      origin: this.#node,
      instance: this.#instance,
      sequence: this.#sequence,
      message,
    };
  }

  /** Notes a message; false when it is this node's own or a repeat. */
  accept({ instance, sequence }: Relayed): boolean {
    if (instance === this.#instance) {
      return false;
    }
    const seen = this.#find(instance);
    const oldest = seen.highest - ORDER_WINDOW;
    if (sequence <= oldest || seen.sequences.has(sequence)) {
      return false;
    }
    seen.sequences.add(sequence);
    seen.highest = Math.max(seen.highest, sequence);
    for (const known of seen.sequences) {
      if (known <= seen.highest - ORDER_WINDOW) {
        seen.sequences.delete(known);
      }
    }
    return true;
  }

  /** Finds an origin, and forgets the one that was silent longest. */
  #find(instance: string): Seen {
    const seen = this.#seen.get(instance) ??
      { highest: 0, sequences: new Set<number>() };
    this.#seen.delete(instance);
    this.#seen.set(instance, seen);
    if (this.#seen.size > MAX_ORIGINS) {
      const [oldest] = this.#seen.keys();
      this.#seen.delete(oldest!);
    }
    return seen;
  }
}
