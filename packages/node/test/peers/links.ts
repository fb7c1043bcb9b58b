/**
 * Connections between nodes whose faults a test controls one by one.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { PeerConnection, PeerTransport } from "@zinniahill/node";
import {
  encodePeerMessage,
  type PeerMessage,
  type PeerMessageOf,
  PROTOCOL_VERSION,
} from "@zinniahill/schema";
import { createPeerAddress } from "../state/cluster.ts";

/** A connection that can become silent while others keep working. */
export class FaultyConnection implements PeerConnection {
  losesSent = false;
  losesReceived = false;
  queuedBytes = 0;
  isClosed = false;
  #inner: PeerConnection;
  #delay: (signal: AbortSignal) => Promise<void>;

  constructor(
    inner: PeerConnection,
    delay: (signal: AbortSignal) => Promise<void>,
  ) {
    this.#inner = inner;
    this.#delay = delay;
  }

  send(message: Uint8Array): void {
    if (!this.losesSent) {
      this.#inner.send(message);
    }
  }

  async receive(signal: AbortSignal): Promise<Uint8Array | undefined> {
    for (;;) {
      const message = await this.#inner.receive(signal);
      await this.#delay(signal);
      if (!this.losesReceived) {
        return message;
      }
      if (message === undefined) {
        await new Promise((_resolve, reject) => {
          signal.addEventListener("abort", () => reject(signal.reason));
        });
      }
    }
  }

  close(): void {
    this.isClosed = true;
    // The end of a connection that loses its packets is not heard.
    if (!this.losesSent) {
      this.#inner.close();
    }
  }
}

/** A transport that gives access to the connections that it made. */
export class FaultyTransport implements PeerTransport {
  readonly connections: FaultyConnection[] = [];
  /** Time that dialling takes, and each message on a dialled connection. */
  latencyMs = 0;
  #clock: Clock;
  #inner: PeerTransport;

  constructor(clock: Clock, inner: PeerTransport) {
    this.#clock = clock;
    this.#inner = inner;
  }

  /** Connections that have not been closed. */
  get open(): FaultyConnection[] {
    return this.connections.filter(({ isClosed }) => !isClosed);
  }

  listen(
    address: string,
    onConnection: (connection: PeerConnection) => void,
  ): Promise<void> {
    return this.#inner.listen(address, (connection) => {
      onConnection(this.#wrap(connection, 0));
    });
  }

  async connect(
    address: string,
    signal: AbortSignal,
  ): Promise<PeerConnection> {
    await this.#clock.sleep(this.latencyMs, signal);
    const connection = await this.#inner.connect(address, signal);
    return this.#wrap(connection, this.latencyMs);
  }

  async stop(): Promise<void> {
    await this.#inner.stop?.();
  }

  #wrap(connection: PeerConnection, latencyMs: number): FaultyConnection {
    const wrapped = new FaultyConnection(connection, async (signal) => {
      if (latencyMs > 0) {
        await this.#clock.sleep(latencyMs, signal);
      }
    });
    this.connections.push(wrapped);
    return wrapped;
  }
}

/** Creates the greeting of a node that a test plays itself. */
export function createHello(
  change: Partial<PeerMessageOf<"hello">> = {},
): PeerMessage {
  return {
    kind: "hello",
    protocol: PROTOCOL_VERSION,
    node: "guest",
    instance: "guest-1",
    dataCentre: "dc-1",
    publicAddress: "127.0.0.1:8900",
    peerAddress: createPeerAddress(900),
    ...change,
  };
}

/** Creates a heartbeat of a node that a test plays itself. */
export function createHeartbeat(
  change: Partial<PeerMessageOf<"heartbeat">> = {},
): PeerMessage {
  return {
    kind: "heartbeat",
    sequence: 1,
    configurationVersion: 1,
    controlOffset: 1,
    logReachable: true,
    load: 0,
    stopping: false,
    ...change,
  };
}

/** Sends messages on a connection. */
export function sendAll(
  connection: PeerConnection,
  ...messages: readonly PeerMessage[]
): void {
  for (const message of messages) {
    connection.send(encodePeerMessage(message));
  }
}

/** Whether the other side has ended the connection. */
export async function isEnded(connection: PeerConnection): Promise<boolean> {
  const limit = AbortSignal.abort();
  for (;;) {
    try {
      if (await connection.receive(limit) === undefined) {
        return true;
      }
    } catch {
      return false;
    }
  }
}
