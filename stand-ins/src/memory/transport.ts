/**
 * Connections between nodes in memory, over links that can be cut.
 *
 * @module
 */
import { Condition } from "@zinniahill/kernel";
import type { PeerConnection, PeerTransport } from "@zinniahill/node";
import type { MemoryNetwork } from "./network.ts";

type Listener = (connection: PeerConnection) => void;

/** The transports of all nodes of one test; ends are peer addresses. */
export class MemoryTransports {
  #network: MemoryNetwork;
  #listeners = new Map<string, Listener>();
  #connections = new Set<MemoryConnection>();
  /** Called for each message that a node sends, with its peer address. */
  onSend: (address: string, message: Uint8Array) => void = () => {};

  constructor(network: MemoryNetwork) {
    this.#network = network;
  }

  /** Creates the transport of one node; its end is its peer address. */
  create(ownAddress: string): PeerTransport {
    return {
      listen: (address, onConnection) => {
        this.#listeners.set(address, onConnection);
        return Promise.resolve();
      },
      connect: (address) => Promise.resolve(this.#connect(ownAddress, address)),
      stop: () => {
        this.#listeners.delete(ownAddress);
      },
    };
  }

  /** Open connections of a node lose what it sends; new ones work. */
  silenceOpenConnections(address: string): void {
    for (const connection of this.#connections) {
      if (connection.address === address) {
        connection.isSilent = true;
      }
    }
  }

  #connect(from: string, to: string): PeerConnection {
    const onConnection = this.#listeners.get(to);
    const mode = this.#network.findMode(from, to);
    if (onConnection === undefined || mode === "refuse") {
      throw new Error(`no node listens at ${to}`);
    }
    const near = new MemoryConnection(from, () => this.#isOpen(to, from));
    const far = new MemoryConnection(to, () => this.#isOpen(from, to));
    for (const connection of [near, far]) {
      this.#connections.add(connection);
      connection.onEnd = () => this.#connections.delete(connection);
      connection.onSend = (bytes) => this.onSend(connection.address, bytes);
    }
    near.other = far;
    far.other = near;
    if (mode === "pass") {
      onConnection(far);
    }
    return near;
  }

  #isOpen(from: string, to: string): boolean {
    return this.#network.findMode(from, to) === "pass";
  }
}

class MemoryConnection implements PeerConnection {
  readonly queuedBytes = 0;
  /** Peer address of the node that holds this end. */
  readonly address: string;
  isSilent = false;
  onEnd: () => void = () => {};
  onSend: (message: Uint8Array) => void = () => {};
  other: MemoryConnection | undefined;
  #canArrive: () => boolean;
  #inbox: Uint8Array[] = [];
  #changed = new Condition();
  #isEnded = false;

  constructor(address: string, canArrive: () => boolean) {
    this.address = address;
    this.#canArrive = canArrive;
  }

  send(message: Uint8Array): void {
    this.onSend(message);
    if (!this.isSilent) {
      this.other?.accept(message);
    }
  }

  accept(message: Uint8Array): void {
    if (this.#canArrive()) {
      this.#inbox.push(message);
      this.#changed.notify();
    }
  }

  async receive(signal: AbortSignal): Promise<Uint8Array | undefined> {
    await this.#changed.until(
      () => this.#inbox.length > 0 || this.#isEnded,
      signal,
    );
    return this.#inbox.shift();
  }

  close(): void {
    this.end();
    if (!this.isSilent && this.other?.canHear() === true) {
      this.other.end();
    }
  }

  canHear(): boolean {
    return this.#canArrive();
  }

  end(): void {
    this.#isEnded = true;
    this.onEnd();
    this.#changed.notify();
  }
}
