/**
 * Bytes on the wire, by what they are for.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Service } from "@zinniahill/kernel";
import { Agent, buildConnector } from "undici";

/** What a connection is used for. */
export type Channel =
  | "log"
  | "host-list"
  | "weight-store"
  | "probes"
  | "streams"
  | "calls"
  | "peers";

/** Bytes of one channel, headers included. */
export interface TrafficCount {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counts the bytes of connections, those that have ended included. */
export class Traffic implements Service {
  #ended = new Map<Channel, TrafficCount>();
  #open = new Map<Channel, Set<Socket>>();

  /** Counts a connection's bytes until it ends. */
  track(channel: Channel, socket: Socket): void {
    const sockets = this.#open.get(channel) ?? new Set();
    this.#open.set(channel, sockets.add(socket));
    socket.once("close", () => {
      sockets.delete(socket);
      this.#ended.set(
        channel,
        addCounts(this.#ended.get(channel) ?? NO_BYTES, socket),
      );
    });
  }

  /** Creates a pool of connections whose bytes are counted. */
  createAgent(channel: Channel, options: Agent.Options = {}): Agent {
    const connect = buildConnector({});
    return new Agent({
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [failure, socket] = result;
          // The library gives no socket, not even null, with a failure.
          if (failure === null && socket !== null) {
            this.track(channel, socket);
          }
          callback(...result);
        });
      },
    });
  }

  /** Bytes of a channel so far. */
  count(channel: Channel): TrafficCount {
    const sockets = [...this.#open.get(channel) ?? []];
    return sockets.reduce(addCounts, this.#ended.get(channel) ?? NO_BYTES);
  }

  dump(): unknown {
    const channels = new Set([...this.#ended.keys(), ...this.#open.keys()]);
    return Object.fromEntries(
      [...channels].map((channel) => [channel, this.count(channel)]),
    );
  }
}

const NO_BYTES: TrafficCount = { sentBytes: 0, receivedBytes: 0 };

function addCounts(count: TrafficCount, socket: Socket): TrafficCount {
  return {
    sentBytes: count.sentBytes + socket.bytesWritten,
    receivedBytes: count.receivedBytes + socket.bytesRead,
  };
}
