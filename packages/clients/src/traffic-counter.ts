/**
 * Counts bytes sent and received, by the purpose of the connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Service } from "@zinniahill/kernel";
import { Agent } from "undici";
import { createConnector } from "./connector.ts";

/** The purpose of a connection. */
export type TrafficClass =
  | "log"
  | "host-list"
  | "weight-store"
  | "probes"
  | "streams"
  | "calls"
  | "peers";

/** Bytes of one traffic class, headers included. */
export interface ByteCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counts the bytes of open and closed connections. */
export class TrafficCounter implements Service {
  #closedCounts = new Map<TrafficClass, ByteCounts>();
  #openSockets = new Map<TrafficClass, Set<Socket>>();

  /** Counts a connection's bytes until it closes. */
  track(trafficClass: TrafficClass, socket: Socket): void {
    const sockets = this.#openSockets.get(trafficClass) ?? new Set();
    this.#openSockets.set(trafficClass, sockets.add(socket));
    socket.once("close", () => {
      sockets.delete(socket);
      this.#closedCounts.set(
        trafficClass,
        addSocketBytes(
          this.#closedCounts.get(trafficClass) ?? ZERO_COUNTS,
          socket,
        ),
      );
    });
  }

  /** Creates a connection pool whose bytes are counted. */
  createAgent(trafficClass: TrafficClass, options: Agent.Options = {}): Agent {
    const connect = createConnector();
    return new Agent({
      ...options,
      connect: (connectOptions, callback) => {
        connect(connectOptions, (...result) => {
          const [, socket] = result;
          if (socket !== null) {
            this.track(trafficClass, socket);
          }
          callback(...result);
        });
      },
    });
  }

  /** Returns the bytes of a traffic class so far. */
  getCounts(trafficClass: TrafficClass): ByteCounts {
    const sockets = [...this.#openSockets.get(trafficClass) ?? []];
    return sockets.reduce(
      addSocketBytes,
      this.#closedCounts.get(trafficClass) ?? ZERO_COUNTS,
    );
  }

  dump(): unknown {
    const trafficClasses = new Set([
      ...this.#closedCounts.keys(),
      ...this.#openSockets.keys(),
    ]);
    return Object.fromEntries(
      [...trafficClasses].map((
        trafficClass,
      ) => [trafficClass, this.getCounts(trafficClass)]),
    );
  }
}

const ZERO_COUNTS: ByteCounts = { sentBytes: 0, receivedBytes: 0 };

function addSocketBytes(count: ByteCounts, socket: Socket): ByteCounts {
  return {
    sentBytes: count.sentBytes + socket.bytesWritten,
    receivedBytes: count.receivedBytes + socket.bytesRead,
  };
}
