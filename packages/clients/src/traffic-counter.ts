/**
 * Bytes on the wire, by what they are for.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Service } from "@zinniahill/kernel";
import { Agent, buildConnector } from "undici";

/** What a connection is used for. */
export type TrafficClass =
  | "log"
  | "host-list"
  | "weight-store"
  | "probes"
  | "streams"
  | "calls"
  | "peers";

/** Bytes of one channel, headers included. */
export interface ByteCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counts the bytes of connections, those that have ended included. */
export class TrafficCounter implements Service {
  #ended = new Map<TrafficClass, ByteCounts>();
  #open = new Map<TrafficClass, Set<Socket>>();

  /** Counts a connection's bytes until it ends. */
  track(trafficClass: TrafficClass, socket: Socket): void {
    const sockets = this.#open.get(trafficClass) ?? new Set();
    this.#open.set(trafficClass, sockets.add(socket));
    socket.once("close", () => {
      sockets.delete(socket);
      this.#ended.set(
        trafficClass,
        addCounts(this.#ended.get(trafficClass) ?? NO_BYTES, socket),
      );
    });
  }

  /** Creates a pool of connections whose bytes are counted. */
  createAgent(trafficClass: TrafficClass, options: Agent.Options = {}): Agent {
    const connect = buildConnector({});
    return new Agent({
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [failure, socket] = result;
          // The library gives no socket, not even null, with a failure.
          if (failure === null && socket !== null) {
            this.track(trafficClass, socket);
          }
          callback(...result);
        });
      },
    });
  }

  /** Bytes of a channel so far. */
  getCounts(trafficClass: TrafficClass): ByteCounts {
    const sockets = [...this.#open.get(trafficClass) ?? []];
    return sockets.reduce(addCounts, this.#ended.get(trafficClass) ?? NO_BYTES);
  }

  dump(): unknown {
    const trafficClasses = new Set([
      ...this.#ended.keys(),
      ...this.#open.keys(),
    ]);
    return Object.fromEntries(
      [...trafficClasses].map((
        trafficClass,
      ) => [trafficClass, this.getCounts(trafficClass)]),
    );
  }
}

const NO_BYTES: ByteCounts = { sentBytes: 0, receivedBytes: 0 };

function addCounts(count: ByteCounts, socket: Socket): ByteCounts {
  return {
    sentBytes: count.sentBytes + socket.bytesWritten,
    receivedBytes: count.receivedBytes + socket.bytesRead,
  };
}
